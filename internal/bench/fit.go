package bench

// Line is y = Base + Slope × x.
type Line struct{ Base, Slope float64 }

// fit returns the line with the least squares of the distances in y; one point gives a level line.
func fit(x, y []float64) Line {
	var meanX, meanY float64
	for i := range x {
		meanX += x[i] / float64(len(x))
		meanY += y[i] / float64(len(x))
	}
	var above, below float64
	for i := range x {
		above += (x[i] - meanX) * (y[i] - meanY)
		below += (x[i] - meanX) * (x[i] - meanX)
	}
	if below == 0 {
		return Line{Base: meanY}
	}
	slope := above / below
	return Line{Base: meanY - slope*meanX, Slope: slope}
}
