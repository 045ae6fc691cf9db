package measure

func placementBaselines(*run) {}

func placementImbalance(*run, Site, int) {}

func admissionBaselines(*run, Site, int) {}
