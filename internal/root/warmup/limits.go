package warmup

import (
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/rules"
)

// A cold server gets requests at unconfiguredRate, in requests per second, while its daemon has no rules yet, and
// counts as cold for unconfiguredPeriod. Other daemons may have rules and send requests.
const (
	unconfiguredRate   = 1
	unconfiguredPeriod = 10 * time.Second
)

// Limits returns the cold rate and cold period of a service; set is nil before the first rules have arrived.
func Limits(set *rules.Set, service string) (rate float64, period time.Duration) {
	if set == nil {
		return unconfiguredRate, unconfiguredPeriod
	}
	if found := set.Services[service]; found != nil {
		return found.ColdRate, found.ColdPeriod
	}
	return 0, 0
}
