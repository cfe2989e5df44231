package rules

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// When more than half of the routes are critical, shedding by importance no longer protects them from
	// each other. Small files are exempt.
	maxCriticalShare  = 0.5
	minRoutesForShare = 8
)

// check reports the problems that can only be found in the complete file: unknown names, conflicting
// attributes and shadowed routes.
func (p *parser) check() {
	if p.set.revision.Line == 0 {
		p.addProblem(1, 1, "the file has no rules", `start the file with "revision N", where N is the revision in force plus one`)
	} else if p.set.revision.Line < 0 {
		p.set.revision.Line = 0
	}
	for _, key := range p.set.Keys {
		if p.set.Accounts[key.Account] == nil {
			p.reportWord(key.Line, key.Account, fmt.Sprintf("the key belongs to the unknown account %q", key.Account),
				p.unknownNameFix("account", key.Account))
		}
	}
	critical := 0
	for _, route := range p.set.Routes {
		p.checkRoute(route)
		if route.Importance != Critical {
			continue
		}
		critical++
		if limit := int(maxCriticalShare * float64(len(p.set.Routes))); len(p.set.Routes) >= minRoutesForShare && critical == limit+1 {
			p.reportWord(route.Line, "importance=", fmt.Sprintf("more than %d of %d routes are critical, so that shedding no longer protects them", limit, len(p.set.Routes)),
				"use importance=normal or importance=bulk for routes that may be shed earlier")
		}
	}
	for i := range p.set.routes.methods {
		p.checkShadowed(&p.set.routes.methods[i].root)
	}
}

func (p *parser) checkRoute(route *Route) {
	if route.Service != "" && p.set.Services[route.Service] == nil {
		p.reportWord(route.Line, "service=", fmt.Sprintf("the route leads to the unknown service %q", route.Service),
			p.unknownNameFix("service", route.Service))
	}
	for _, account := range route.Accounts {
		if p.set.Accounts[account] == nil {
			p.reportWord(route.Line, "accounts=", fmt.Sprintf("the route is restricted to the unknown account %q", account),
				p.unknownNameFix("account", account))
		}
	}
	if route.Access == AccessOpen && len(route.Accounts) > 0 {
		p.reportWord(route.Line, "accounts=", "an open route cannot be restricted to accounts", "use access=keyed or remove accounts=")
	}
	if route.Offline && route.Access == AccessKeyed {
		p.reportWord(route.Line, "offline=", "a keyed route cannot be served offline, because a withdrawn key would not be noticed",
			"use access=open or remove offline=serve")
	}
	if route.Offline && route.Run == RunOnce {
		p.reportWord(route.Line, "offline=", "a route with run=once cannot be served offline, because its record cannot be kept",
			"use run=idempotent or remove offline=serve")
	}
}

// checkShadowed reports routes ending in {name...} for which other routes match every path.
func (p *parser) checkShadowed(n *node) {
	if n.rest != nil && n.coveredRest() {
		route := n.rest.route
		p.reportWord(route.Line, route.Path, "the route never matches, because other routes take all its paths",
			"remove the line or one of the routes with variables in its place")
	}
	for _, e := range n.literals {
		p.checkShadowed(e.next)
	}
	if n.variable != nil {
		p.checkShadowed(n.variable)
	}
}

// coveredRest reports whether other patterns match every remaining path before the rest pattern of the node.
func (n *node) coveredRest() bool {
	empty := n.literal("")
	return empty != nil && empty.end != nil && n.variable != nil && n.variable.end != nil &&
		(n.variable.rest != nil || n.variable.coveredRest())
}

// unknownNameFix returns the fix for a name that no rule declares.
func (p *parser) unknownNameFix(kind, name string) string {
	var known []string
	switch kind {
	case "service":
		for other := range p.set.Services {
			known = append(known, other)
		}
	default:
		for other := range p.set.Accounts {
			known = append(known, other)
		}
	}
	slices.Sort(known)
	if suggestion := suggest(name, known); strings.HasPrefix(suggestion, `"`) {
		return fmt.Sprintf("use %s or add a rule for %s %q", suggestion, kind, name)
	}
	return fmt.Sprintf("add a rule for %s %q", kind, name)
}

// reportWord records a problem at the first word of a rule that starts with the given text.
func (p *parser) reportWord(line int, start, message, fix string) {
	p.lineNumber, p.line = line, p.lines[line-1]
	body, _, _ := strings.Cut(p.line, "#")
	p.splitWords(body)
	offset := 0
	for _, w := range p.words {
		if strings.HasPrefix(w.text, start) {
			offset = w.offset
			break
		}
	}
	p.report(offset, message, fix)
}
