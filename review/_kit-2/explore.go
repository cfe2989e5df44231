package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["explore-snapshots"] = exploreSnapshots }

func exploreSnapshots(r *record, trouble bool) bool {
	f := newFleet(r, "front")
	defer f.stop()
	s := newServer(f.daemons()[0], "i-1", 50)
	s.run = nil
	_ = s.listen()
	defer s.stop()
	version := 1
	conf := func(v, base int) string {
		var routes []route
		for i := range 60 {
			routes = append(routes, route{Name: fmt.Sprintf("r%d", i), Kind: "safe", Prefix: fmt.Sprintf("/p%d/", (i*7+v)%1000), Service: "front", Timeout: 1 + float64(v%7), Public: true})
		}
		return configText(v, base, nil, routes, []string{"front"})
	}
	f.putConfig(conf(1, 0))
	reads := func(n int) {
		var wg sync.WaitGroup
		var ok, bad atomic.Int64
		for w := range 8 {
			wg.Go(func() {
				for i := 0; i < n/8; i++ {
					st, _ := f.call(f.controls()[(w+i)%3], "config.get", "", 2*time.Second)
					if st == 200 {
						ok.Add(1)
					} else {
						bad.Add(1)
					}
				}
			})
		}
		wg.Wait()
		r.printf("reads ok %d bad %d", ok.Load(), bad.Load())
	}
	put := func() {
		version += 3
		f.putConfig(conf(version, version-3))
	}
	check := func(what string) {
		for range 60 {
			st, text := f.call(f.controls()[version%3], "config.get", "", 2*time.Second)
			if st == 200 {
				r.printf("%s: version %d read ok %t", what, version, strings.Contains(text, fmt.Sprintf(`"version":%d`, version)))
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
		r.printf("%s: no read", what)
	}
	for range 4 {
		reads(3000)
		for range 20 {
			put()
		}
	}
	check("after 12000 reads")
	ls, _ := os.ReadDir(f.controls()[0].dataFolder())
	for _, e := range ls {
		i, _ := e.Info()
		r.printf("file %s %d", e.Name(), i.Size())
	}
	for _, c := range f.controls() {
		c.signal(syscall.SIGKILL)
		c.awaitExit(time.Second)
	}
	for _, c := range f.controls() {
		c.start()
	}
	check("after killing all")
	put()
	for i := range 3 {
		c := f.controls()[i]
		c.signal(syscall.SIGKILL)
		c.awaitExit(time.Second)
		_ = os.RemoveAll(c.dataFolder())
		c.start()
		time.Sleep(6 * time.Second)
		check(fmt.Sprintf("after wiping %d", i))
		put()
	}
	reads(5000)
	put()
	check("end")
	for _, n := range f.nodes {
		r.printf("%s running %t", n.name, n.running())
	}
	return true
}
