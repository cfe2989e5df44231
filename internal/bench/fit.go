package bench

// Line is the line y = Base + Slope × x.
type Line struct{ Base, Slope float64 }

// fit returns the least-squares line through the points; its slope is zero if all x are equal.
func fit(x, y []float64) Line {
	var meanX, meanY float64
	for i := range x {
		meanX += x[i] / float64(len(x))
		meanY += y[i] / float64(len(x))
	}
	var numerator, denominator float64
	for i := range x {
		numerator += (x[i] - meanX) * (y[i] - meanY)
		denominator += (x[i] - meanX) * (x[i] - meanX)
	}
	if denominator == 0 {
		return Line{Base: meanY}
	}
	slope := numerator / denominator
	return Line{Base: meanY - slope*meanX, Slope: slope}
}
