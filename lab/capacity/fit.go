package capacity

import "math"

// Point is one measurement.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Line is a line through points, fitted by ordinary least squares (Legendre
// 1805).
type Line struct {
	Slope     float64 `json:"slope"`     // units of the value for one more unit of the size
	Intercept float64 `json:"intercept"` // units of the value at size 0
	// Residual is the root of the mean squared deviation from the line, in units
	// of the value.
	Residual float64 `json:"residual"`
}

// Fit returns the line of least squares through points. With fewer than two
// different sizes the slope is 0.
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
