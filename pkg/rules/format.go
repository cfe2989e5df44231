package rules

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// CanonicalLine returns the canonical text of a rule, without a newline.
func CanonicalLine(s Statement) string {
	var text strings.Builder
	switch r := s.(type) {
	case *Revision:
		fmt.Fprintf(&text, "revision %d", r.Number)
	case *Service:
		fmt.Fprintf(&text, "service %s slots=%d connections=%d retry-share=%s", r.Name, r.Slots, r.Connections, formatPercent(r.RetryShare))
		formatCold(&text, r)
		if r.LongAnswersStay {
			text.WriteString(" long-answers=stay")
		}
	case *Account:
		fmt.Fprintf(&text, "account %s rate=%s burst=%d", r.Name, r.Rate, r.Burst)
		formatRegions(&text, r.Regions)
	case *Key:
		fmt.Fprintf(&text, "key %s %s", r.Account, r.Hash)
		if r.State == KeyWithdrawn {
			text.WriteString(" state=withdrawn")
		}
	case *Route:
		formatRoute(&text, r)
	}
	rule := RuleOf(s)
	text.WriteString(" # " + requesterMark + rule.Requester)
	if rule.Reason != "" {
		text.WriteString(": " + rule.Reason)
	}
	return text.String()
}

// Format returns the file with every rule in its canonical form; comments and blank lines keep their
// positions. The error is of type Problems.
func Format(name string, text []byte) ([]byte, error) {
	set, err := Parse(name, text)
	if err != nil {
		return nil, err
	}
	byLine := map[int]Statement{}
	for _, s := range set.Statements() {
		byLine[RuleOf(s).Line] = s
	}
	var out bytes.Buffer
	lines := strings.Split(strings.TrimRight(string(text), "\r\n"), "\n")
	for i, line := range lines {
		if s := byLine[i+1]; s != nil {
			out.WriteString(CanonicalLine(s))
		} else {
			out.WriteString(strings.TrimSpace(line))
		}
		out.WriteByte('\n')
	}
	return out.Bytes(), nil
}

// String returns the rate in the format of the rules file, for example 200/s.
func (r Rate) String() string {
	for _, unit := range rateUnits {
		if unit.per == r.Per {
			return fmt.Sprintf("%d/%s", r.Count, unit.name)
		}
	}
	return fmt.Sprintf("%d per %s", r.Count, r.Per)
}

func formatRoute(text *strings.Builder, r *Route) {
	fmt.Fprintf(text, "route %s %s service=%s access=%s", r.Method, r.Path, r.Service, r.Access)
	if len(r.Accounts) > 0 {
		text.WriteString(" accounts=" + strings.Join(r.Accounts, ","))
	}
	fmt.Fprintf(text, " run=%s importance=%s deadline=%s", r.Run, r.Importance, formatDuration(r.Deadline))
	if r.Retries != DefaultRetries {
		fmt.Fprintf(text, " retries=%d", r.Retries)
	}
	if r.Offline {
		text.WriteString(" offline=serve")
	}
	if r.Nested {
		text.WriteString(" nested=only")
	}
	formatRegions(text, r.Regions)
}

func formatRegions(text *strings.Builder, regions []string) {
	if len(regions) > 0 {
		text.WriteString(" regions=" + strings.Join(regions, ","))
	}
}

// formatDuration formats a duration in its largest whole unit: 10m, where time.Duration prints 10m0s.
func formatDuration(d time.Duration) string {
	for _, unit := range []struct {
		name string
		size time.Duration
	}{{"h", time.Hour}, {"m", time.Minute}, {"s", time.Second}} {
		if d >= unit.size && d%unit.size == 0 {
			return strconv.FormatInt(int64(d/unit.size), 10) + unit.name
		}
	}
	return strconv.FormatInt(d.Milliseconds(), 10) + "ms"
}

func formatPercent(ratio float64) string {
	return strconv.FormatFloat(math.Round(ratio*1e4)/1e2, 'f', -1, 64) + "%"
}
