package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const namespace = "buckthorn"

// latencyBuckets are in seconds; they cover an added latency of 1.9 ms as well as calls of several seconds.
var latencyBuckets = []float64{.0001, .00025, .0005, .001, .0019, .003, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30}

// Results that ColdStart counts.
const (
	ColdDelayed = "delayed"
	ColdRefused = "refused"
)

// Meter is the set of metrics of one daemon.
type Meter struct {
	Registry *prometheus.Registry

	calls                  *prometheus.CounterVec
	duration               *prometheus.HistogramVec
	refusals               *prometheus.CounterVec
	sheds                  *prometheus.CounterVec
	retries                *prometheus.CounterVec
	queueWait              prometheus.Histogram
	backendConnectionsLost *prometheus.CounterVec
	replays                prometheus.Counter
	resumes                prometheus.Counter
	truncatedResponses     prometheus.Counter
	refusalsWithinRate     *prometheus.CounterVec
	addedLatency           *prometheus.HistogramVec
	randomChoices          *prometheus.CounterVec
	unevenRefusals         *prometheus.CounterVec
	coldServers            prometheus.Gauge
	coldStarts             *prometheus.CounterVec
	evacuationRefusals     prometheus.Counter
	displacedConnections   *prometheus.CounterVec
	budgetRefusals         *prometheus.CounterVec
	invalidMessages        *prometheus.CounterVec
	callerCuts             *prometheus.CounterVec
}

// New returns a meter with its own registry.
func New() *Meter {
	m := &Meter{
		Registry: prometheus.NewRegistry(),
		calls: newCounterVec("calls_total", "Calls that ended, by service, client account and result.",
			"service", "account", "result"),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "call_duration_seconds", Buckets: latencyBuckets,
			Help: "Time from the call's arrival to the end of its answer.",
		}, []string{"service"}),
		refusals: newCounterVec("refusals_total", "Calls refused at this daemon, by reason and client account.",
			"reason", "account"),
		sheds: newCounterVec("sheds_total", "Calls refused by admission control, by importance and reason.",
			"importance", "reason"),
		retries: newCounterVec("retries_total", "Calls sent again, by service.", "service"),
		queueWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "queue_wait_seconds", Buckets: latencyBuckets,
			Help: "Time that queued calls waited for a slot.",
		}),
		backendConnectionsLost: newCounterVec("backend_lost_total", "Connections to backend servers lost with a request in flight.",
			"service"),
		replays:            newCounter("replays_total", "Answers given from an idempotency record."),
		resumes:            newCounter("resumes_total", "Downloads resumed from another instance."),
		truncatedResponses: newCounter("answers_cut_short_total", "Answers that could not be completed."),
		refusalsWithinRate: newCounterVec("refusals_within_rate_total",
			"Calls refused for a lack of capacity although they were within their client account's rate.", "reason", "account"),
		addedLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "added_latency_seconds", Buckets: latencyBuckets,
			Help: "Time to the head of a call's answer that was not spent in the backend server.",
		}, []string{"service"}),
		randomChoices: newCounterVec("random_choices_total",
			"Requests sent to another server than the one with the lowest predicted cost, to even out the load.", "service"),
		unevenRefusals: newCounterVec("uneven_refusals_total",
			"Requests refused by a full server that another server of the service then answered.", "service"),
		coldServers: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "cold_servers", Help: "Backend servers beside this daemon that are cold and have a cold rate.",
		}),
		coldStarts: newCounterVec("cold_starts_total", "Calls that were delayed or refused because their backend server is cold.", "result"),
	}
	m.evacuationRefusals = newCounter("evacuation_refusals_total", "Requests refused at the daemon of their backend server because its availability zone is under evacuation.")
	m.displacedConnections = newCounterVec("connections_displaced_total", "Connections that were closed because a listener had no room for another one.", "listener")
	m.budgetRefusals = newCounterVec("budget_refusals_total", "Requests refused and connections closed because the memory for clients was taken, by what it was needed for.", "use")
	m.invalidMessages = newCounterVec("invalid_messages_total", "Messages of other processes of the system that are invalid and were ignored, by stream.", "stream")
	m.callerCuts = newCounterVec("caller_cuts_total", "Connections of callers that ended while requests had no complete response, or while bytes were dropped or left unread, by reason.", "reason")
	m.Registry.MustRegister(m.callerCuts, m.invalidMessages, m.displacedConnections, m.budgetRefusals, m.evacuationRefusals, m.coldServers, m.coldStarts, m.calls, m.duration, m.refusals, m.sheds, m.retries, m.queueWait,
		m.backendConnectionsLost, m.replays, m.resumes, m.truncatedResponses, m.refusalsWithinRate, m.addedLatency,
		m.randomChoices, m.unevenRefusals,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

// Call counts a call that ended with the given result and records its duration.
func (m *Meter) Call(service, account, result string, duration time.Duration) {
	m.calls.WithLabelValues(service, account, result).Inc()
	m.duration.WithLabelValues(service).Observe(duration.Seconds())
}

// Refused counts a call that this daemon refused.
func (m *Meter) Refused(reason, account string) { m.refusals.WithLabelValues(reason, account).Inc() }

// Shed counts a call that the admission controller refused.
func (m *Meter) Shed(importance, reason string) { m.sheds.WithLabelValues(importance, reason).Inc() }

// Retry counts a retry of a call.
func (m *Meter) Retry(service string) { m.retries.WithLabelValues(service).Inc() }

// QueueWait records the time that a queued call waited for a slot.
func (m *Meter) QueueWait(wait time.Duration) { m.queueWait.Observe(wait.Seconds()) }

// BackendConnectionLost counts a connection to a backend server that broke with a request in flight.
func (m *Meter) BackendConnectionLost(service string) {
	m.backendConnectionsLost.WithLabelValues(service).Inc()
}

// Replay counts a response that was sent from an idempotency record.
func (m *Meter) Replay() { m.replays.Inc() }

// Resume counts a download resumed from another instance.
func (m *Meter) Resume() { m.resumes.Inc() }

// TruncatedResponse counts a response that could not be completed.
func (m *Meter) TruncatedResponse() { m.truncatedResponses.Inc() }

// RefusedWithinRate counts a call that was refused although its client account was within its rate.
func (m *Meter) RefusedWithinRate(reason, account string) {
	m.refusalsWithinRate.WithLabelValues(reason, account).Inc()
}

// AddedLatency records the time that the daemons added to a call; a negative time counts as zero.
func (m *Meter) AddedLatency(service string, latency time.Duration) {
	m.addedLatency.WithLabelValues(service).Observe(max(latency, 0).Seconds())
}

// RandomChoice counts a call that was sent to another server than the one with the lowest predicted cost.
func (m *Meter) RandomChoice(service string) { m.randomChoices.WithLabelValues(service).Inc() }

// UnevenRefusal counts a call that a full server refused and another one answered.
func (m *Meter) UnevenRefusal(service string) { m.unevenRefusals.WithLabelValues(service).Inc() }

// ColdServers adds to the number of cold backend servers.
func (m *Meter) ColdServers(change float64) { m.coldServers.Add(change) }

// ColdStart counts a call that was delayed or refused because its backend server is cold.
func (m *Meter) ColdStart(result string) { m.coldStarts.WithLabelValues(result).Inc() }

// EvacuationRefused counts a request that the daemon of its backend server refused because of an evacuation.
func (m *Meter) EvacuationRefused() { m.evacuationRefusals.Inc() }

// ConnectionDisplaced counts a connection that was closed to make room for another one.
func (m *Meter) ConnectionDisplaced(listener string) {
	m.displacedConnections.WithLabelValues(listener).Inc()
}

// BudgetRefused counts a request that was refused, or a connection that was closed, for lack of memory for clients.
func (m *Meter) BudgetRefused(use string) { m.budgetRefusals.WithLabelValues(use).Inc() }

// InvalidMessage counts an invalid message of another process of the system that was ignored.
func (m *Meter) InvalidMessage(stream string) { m.invalidMessages.WithLabelValues(stream).Inc() }

// CallerCut counts a connection of a caller that ended while requests had no complete response, or while bytes of the
// caller were dropped or left unread.
func (m *Meter) CallerCut(reason string) { m.callerCuts.WithLabelValues(reason).Inc() }

// WatchZones registers a gauge of the availability zones under evacuation, whose number read returns at each scrape.
func (m *Meter) WatchZones(read func() int) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "evacuated_zones", Help: "Availability zones under evacuation, as this daemon knows them.",
	}, func() float64 { return float64(read()) }))
}
