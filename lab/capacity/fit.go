package capacity

import "math"

// Point is a measured value at a size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Line is a line fitted to points by ordinary least squares (Legendre 1805).
type Line struct {
	Slope     float64 `json:"slope"`     // in units of the value per unit of the size
	Intercept float64 `json:"intercept"` // value at size 0
	// Residual is the root mean square deviation from the line, in units of the value.
	Residual float64 `json:"residual"`
}

// Fit returns the least-squares line of points. With fewer than two different sizes its slope
// is 0.
func Fit(points []Point) Line {
	if len(points) == 0 {
		return Line{}
	}
	n := float64(len(points))
	var sumX, sumY float64
	for _, p := range points {
		sumX += p.Size
		sumY += p.Value
	}
	meanX, meanY := sumX/n, sumY/n
	var sxx, sxy float64
	for _, p := range points {
		sxx += (p.Size - meanX) * (p.Size - meanX)
		sxy += (p.Size - meanX) * (p.Value - meanY)
	}
	line := Line{Intercept: meanY}
	if sxx > 0 {
		line.Slope = sxy / sxx
		line.Intercept = meanY - line.Slope*meanX
	}
	line.Residual = line.deviation(points)
	return line
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 {
	return l.Intercept + l.Slope*size
}

func (l Line) deviation(points []Point) float64 {
	var sum float64
	for _, p := range points {
		d := p.Value - l.At(p.Size)
		sum += d * d
	}
	return math.Sqrt(sum / float64(len(points)))
}
