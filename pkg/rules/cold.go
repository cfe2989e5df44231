package rules

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxColdRate is the highest rate of a cold instance in requests per second.
	MaxColdRate = 1_000_000
	// MaxColdPeriod is the longest period for which an instance stays cold after its start.
	MaxColdPeriod = 10 * time.Minute

	// wholeRateTolerance is the difference from a whole number that the conversion between units leaves.
	wholeRateTolerance = 1e-9
)

// errCold reports a cold rate or cold period outside its bounds.
var errCold = errors.New("invalid cold start limits")

// CheckCold reports a cold rate or cold period outside its bounds.
func (s *Service) CheckCold() error {
	switch {
	case !(s.ColdRate >= 0 && s.ColdRate <= MaxColdRate):
		return fmt.Errorf("%w: the rate of %g requests per second is not from 0 to %d", errCold, s.ColdRate, MaxColdRate)
	case s.ColdPeriod < 0 || s.ColdPeriod > MaxColdPeriod:
		return fmt.Errorf("%w: the period %s is not from 0s to %s", errCold, s.ColdPeriod, formatDuration(MaxColdPeriod))
	}
	return nil
}

// coldRate returns requests per second for a text such as 13/s, 2.5/s or 30/min.
func (p *parser) coldRate(v word) float64 {
	digits, unit, _ := strings.Cut(v.text, "/")
	whole, fraction, decimals := strings.Cut(digits, ".")
	number, err := strconv.ParseFloat(digits, 64)
	valid := err == nil && isDigits(whole) && (!decimals || isDigits(fraction)) && number > 0
	for _, known := range rateUnits {
		if perSecond := number / known.per.Seconds(); valid && known.name == unit && perSecond <= MaxColdRate {
			return perSecond
		}
	}
	p.report(v.offset, fmt.Sprintf("%q is not a cold rate", shorten(v.text)),
		fmt.Sprintf("write a number above 0 with its unit, at most \"%d/s\", for example \"13/s\", \"2.5/s\" or \"30/min\", or remove the word", MaxColdRate))
	return 0
}

// coldPeriod returns a duration for a text such as 800ms, 3s or 1m.
func (p *parser) coldPeriod(v word) time.Duration {
	duration, err := time.ParseDuration(v.text)
	if err != nil || duration < time.Millisecond || duration > MaxColdPeriod || duration%time.Millisecond != 0 {
		p.report(v.offset, fmt.Sprintf("%q is not a cold period from 1ms to %s", shorten(v.text), formatDuration(MaxColdPeriod)),
			`write whole milliseconds with units, for example "800ms", "3s" or "1m"`)
		return 0
	}
	return duration
}

func formatCold(text *strings.Builder, s *Service) {
	if s.ColdRate > 0 {
		text.WriteString(" cold-rate=" + formatColdRate(s.ColdRate))
	}
	if s.ColdPeriod > 0 {
		text.WriteString(" cold-period=" + formatDuration(s.ColdPeriod))
	}
}

// formatColdRate formats a rate in the first unit in which it is a whole number, otherwise per second.
func formatColdRate(perSecond float64) string {
	for _, unit := range rateUnits {
		count := perSecond * unit.per.Seconds()
		if whole := math.Round(count); whole >= 1 && math.Abs(count-whole) <= wholeRateTolerance*whole {
			return fmt.Sprintf("%.0f/%s", whole, unit.name)
		}
	}
	return strconv.FormatFloat(perSecond, 'f', -1, 64) + "/s"
}
