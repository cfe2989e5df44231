package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// residentMemory returns the memory of a process in bytes.
func residentMemory(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes << 10
		}
	}
	return 0
}

// routesConfiguration returns a configuration with one route for the clients and a number of further routes. Each
// version moves the time-outs of a seventh of the further routes.
func routesConfiguration(version, routes int) string {
	var rules strings.Builder
	rules.WriteString(`{"name":"r-work","route_type":"unsafe","target_latency_s":1.5,"priority":0,"public":false,"match":{"path_prefix":"/shelf/"},"action":{"service":"shop","timeout_s":2,"max_attempts":2}}`)
	for i := range routes {
		timeout := 2.0
		if i%7 == version%7 {
			timeout += float64(version%900) / 1000
		}
		fmt.Fprintf(&rules, `,{"name":"r-rge9%04d","route_type":"safe","target_latency_s":1.5,"priority":2,"public":false,"match":{"path_prefix":"/puka%04d/"},"action":{"service":"shop","timeout_s":%g,"max_attempts":2}}`, i, i, timeout)
	}
	return fmt.Sprintf(`{"version":%d,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},`+
		`"tenants":[{"name":%q,"api_keys":[%q],"priority":1,"rate_per_s":0,"burst":0}],"base_version":%d,`+
		`"listeners":[{"host":"shop.example","route_rules":[%s]}],"clusters":[{"name":"shop","health_path":"/health","max_connections":748,"protocol":"h1","tls":false}]}`,
		version, tenant, apiKey, version-1, rules.String())
}

// manyChanges sends hundreds of changes of a configuration with many routes, one after the other. The platform kills a
// process that uses more memory than its limit and starts it again. The rule is broken if the processes of half of the
// core end three times each in this way.
func manyChanges(rec *record, trouble bool) (bool, error) {
	const (
		limit      = 280 << 20 // of a core machine
		changes    = 230
		period     = 330 * time.Millisecond // of the changes
		manyRoutes = 3 * 1400
		fewRoutes  = 40
		changeTime = 76 * time.Second
		settleTime = 12 * time.Second
	)
	routes := fewRoutes
	if trouble {
		routes = manyRoutes
	}
	f, err := newFleet(rec, "280MiB", "shop", "shop")
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.startAll(); err != nil {
		return false, err
	}
	for i, m := range f.daemons {
		v, err := startServer(f, m, fmt.Sprintf("i-%d", i+1), 20)
		if err != nil {
			return false, err
		}
		defer v.end()
	}
	var mu sync.Mutex
	ends := map[string]int{}
	stop := make(chan struct{})
	var platform sync.WaitGroup
	for _, m := range f.controls {
		platform.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				used := residentMemory(m.pid())
				if used <= limit {
					continue
				}
				rec.logf("%s uses %d MB, its limit is %d MB", m.name, used>>20, limit>>20)
				<-f.signal(m, syscall.SIGKILL)
				mu.Lock()
				ends[m.name]++
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
				if f.writeSettings(m, false) != nil || f.start(m) != nil {
					return
				}
			}
		})
	}
	acknowledged := 0
	next := time.Now()
	for end := next.Add(changeTime); acknowledged < changes && time.Now().Before(end); {
		time.Sleep(time.Until(next))
		next = next.Add(period)
		if err := f.putConfig(routesConfiguration(acknowledged+1, routes)); err != nil {
			rec.logf("operator: version %d: %v", acknowledged+1, err)
			break
		}
		if acknowledged++; acknowledged%20 == 0 {
			for _, m := range f.controls {
				rec.logf("after %d changes: %s uses %d MB", acknowledged, m.name, residentMemory(m.pid())>>20)
			}
		}
	}
	time.Sleep(settleTime)
	status, text := 0, ""
	for _, c := range f.controls {
		status, text = f.call(f.address(c, f.ports.calls), "config.get", "", "")
		rec.logf("operator reads at %s: status %d, version %d: %t", c.name, status, acknowledged, strings.Contains(text, fmt.Sprintf(`"version":%d,`, acknowledged)))
	}
	served := 0
	for n := range 10 {
		q := request{id: fmt.Sprintf("after-%d", n), method: "POST", host: "shop.example", path: "/shelf/x", deadline: time.Second}
		a := send(f.address(f.daemons[0], f.ports.outbound), q)
		rec.logf("client: %s: status %d %v", q.id, a.status, a.err)
		if a.status == http.StatusOK {
			served++
		}
	}
	close(stop)
	platform.Wait()
	machines := 0
	for name, count := range ends {
		rec.logf("%s ended %d times", name, count)
		if count >= 3 {
			machines++
		}
	}
	rec.logf("changes acknowledged: %d; requests served at the end: %d of 10", acknowledged, served)
	return 2*machines >= len(f.controls), nil
}
