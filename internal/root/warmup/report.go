package warmup

import "time"

// Report is what the daemon of a server reports about its cold state; the zero value stands for a warm server.
type Report struct {
	Rate float64       // requests per second that the server gets while it is cold
	For  time.Duration // how long it is still cold
	Wait time.Duration // predicted wait of another request for its start
}

// ExpectedWait returns the predicted wait at the given age of the report: the reported wait and that of the requests that
// the sender has sent since then, less the time that has passed. It is zero once the server is warm.
func (r *Report) ExpectedWait(age time.Duration, sent int) time.Duration {
	remaining := r.For - age
	if r.Rate <= 0 || remaining <= 0 {
		return 0
	}
	wait := (r.Wait - age).Seconds() + float64(sent)/r.Rate
	return time.Duration(min(max(wait, 0), remaining.Seconds()) * float64(time.Second))
}
