package rules

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"
)

const (
	maxServersPerAttempt = 100
	// maxHostDeadline is the longest deadline of a route by host and prefix.
	maxHostDeadline = 10 * time.Minute
	// maxWeight bounds the weight of one part of a split route, so that sums of weights do not overflow.
	maxWeight = 1_000_000_000
)

// ErrSet reports a set that exceeds a limit, has an invalid rule or refers to a rule that does not exist.
var ErrSet = errors.New("invalid rules")

// Assemble validates a set of routes by host and prefix that was not parsed from a rules file, and builds its
// indexes; errors wrap ErrSet.
func Assemble(set *Set) error {
	for _, size := range []struct {
		kind         Kind
		count, limit int
	}{
		{KindService, len(set.Services), maxServices},
		{KindAccount, len(set.Accounts), maxAccounts},
		{KindKey, len(set.Keys), maxKeys},
		{KindRoute, len(set.Routes), maxRoutes},
	} {
		if size.count > size.limit {
			return fmt.Errorf("%w: %d rules of kind %q, limit %d", ErrSet, size.count, size.kind, size.limit)
		}
	}
	if err := set.assembleKeys(); err != nil {
		return err
	}
	for _, account := range set.Accounts {
		if len(account.Regions) > MaxRegions {
			return fmt.Errorf("%w: client account %q has %d regions, limit %d", ErrSet, account.Name, len(account.Regions), MaxRegions)
		}
	}
	set.hosts = make(map[string][]*Route)
	for _, route := range set.Routes {
		if err := set.checkHostRoute(route); err != nil {
			return err
		}
		host := hostName(route.Host)
		set.hosts[host] = append(set.hosts[host], route)
	}
	for _, routes := range set.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
		for i := 1; i < len(routes); i++ {
			if routes[i].Prefix == routes[i-1].Prefix {
				return fmt.Errorf("%w: routes %q and %q have the same place", ErrSet, routes[i-1].Name, routes[i].Name)
			}
		}
	}
	return nil
}

func (s *Set) assembleKeys() error {
	s.keys = keyIndex{}
	owners := make(map[Hash]string, len(s.Keys))
	for _, key := range s.Keys {
		if s.Accounts[key.Account] == nil {
			return fmt.Errorf("%w: key %q belongs to the unknown client account %q", ErrSet, key.Name, key.Account)
		}
		if owner, found := owners[key.Hash]; found {
			if owner != key.Account {
				return fmt.Errorf("%w: client accounts %q and %q share a key", ErrSet, owner, key.Account)
			}
			continue
		}
		owners[key.Hash] = key.Account
		s.keys[key.Hash.prefix()] = append(s.keys[key.Hash.prefix()], key)
	}
	return nil
}

func (s *Set) checkHostRoute(route *Route) error {
	invalid := func(format string, args ...any) error {
		return fmt.Errorf("%w: route %q: %s", ErrSet, route.Name, fmt.Sprintf(format, args...))
	}
	switch {
	case route.Host == "":
		return invalid("the host is empty")
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return invalid("the prefix %q does not begin and end with a slash", route.Prefix)
	case route.Deadline <= 0 || route.Deadline > maxHostDeadline:
		return invalid("the deadline %s is not between 0 and %s", route.Deadline, maxHostDeadline)
	case route.Objective < 0 || route.MaxSends < 1 || route.MaxSends > maxServersPerAttempt:
		return invalid("objective %s and %d sends are out of bounds", route.Objective, route.MaxSends)
	case len(route.Regions) > MaxRegions:
		return invalid("%d regions, limit %d", len(route.Regions), MaxRegions)
	case (route.Service == "") == (len(route.WeightedServices) == 0):
		return invalid("want either a service or weighted services")
	case route.Service != "" && s.Services[route.Service] == nil:
		return invalid("the service %q is unknown", route.Service)
	}
	total := 0
	for _, part := range route.WeightedServices {
		if s.Services[part.Service] == nil {
			return invalid("the service %q is unknown", part.Service)
		}
		if part.Weight < 0 || part.Weight > maxWeight {
			return invalid("the weight %d of service %q is not between 0 and %d", part.Weight, part.Service, maxWeight)
		}
		total += part.Weight
	}
	if len(route.WeightedServices) > 0 && total == 0 {
		return invalid("all weights are zero")
	}
	return nil
}

// MatchHost returns the route of the host whose prefix is the longest one that the path starts with.
func (s *Set) MatchHost(host, path string) (*Route, bool) {
	for _, route := range s.hosts[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// hostName returns the host in lower case without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
