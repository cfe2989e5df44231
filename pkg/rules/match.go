package rules

import (
	"cmp"
	"slices"
	"strings"
)

const (
	maxPathLength   = 8 << 10 // bytes
	maxPathSegments = 64
)

type (
	// Match is the route of a request and the values of its path variables.
	Match struct {
		Route *Route
		Vars  []Var // in the order of the pattern
	}

	// Var is a path variable; its value is percent-encoded as the caller sent it.
	Var struct {
		Name  string
		Value string
	}

	// routeIndex holds one trie of path segments per method.
	routeIndex struct {
		methods []methodTrie
	}

	methodTrie struct {
		method string
		root   node
	}

	// node is reached by a number of segments; literals are tried before the variable, and the
	// variable before the rest, so the most specific pattern wins from left to right.
	node struct {
		literals []edge // sorted by segment once the trie is complete
		variable *node
		end      *leaf // the pattern ends here
		rest     *leaf // the pattern ends in {name...} here
	}

	edge struct {
		segment string
		next    *node
	}

	leaf struct {
		route *Route
		vars  []pathVar
	}

	pathVar struct {
		name    string
		segment int // index in the path
	}
)

// Match returns the route for a method and an escaped path (url.URL.EscapedPath); HEAD follows GET.
// A path that another reader could resolve to a different one (empty, "." or ".." segments, encoded
// slashes, needlessly encoded characters) matches nothing, so that it cannot evade a keyed route.
func (s *Set) Match(method, path string) (Match, bool) {
	if method == "HEAD" {
		method = "GET"
	}
	if !canonicalPath(path) {
		return Match{}, false
	}
	for i := range s.routes.methods {
		if trie := &s.routes.methods[i]; trie.method == method {
			found := trie.root.find(path[1:])
			if found == nil {
				return Match{}, false
			}
			return Match{Route: found.route, Vars: found.values(path[1:])}, true
		}
	}
	return Match{}, false
}

// find returns the leaf for the remaining path, which has no leading slash.
func (n *node) find(path string) *leaf {
	segment, remaining, more := strings.Cut(path, "/")
	if next := n.literal(segment); next != nil {
		if !more {
			if next.end != nil {
				return next.end
			}
		} else if found := next.find(remaining); found != nil {
			return found
		}
	}
	if n.variable != nil && segment != "" {
		if !more {
			if n.variable.end != nil {
				return n.variable.end
			}
		} else if found := n.variable.find(remaining); found != nil {
			return found
		}
	}
	return n.rest
}

func (n *node) literal(segment string) *node {
	at, found := slices.BinarySearchFunc(n.literals, segment, func(e edge, s string) int {
		return cmp.Compare(e.segment, s)
	})
	if !found {
		return nil
	}
	return n.literals[at].next
}

// values returns the path variables with one allocation, or none when the pattern has no variables.
func (l *leaf) values(path string) []Var {
	if len(l.vars) == 0 {
		return nil
	}
	vars := make([]Var, 0, len(l.vars))
	for index := 0; len(vars) < len(l.vars); index++ {
		segment, remaining, _ := strings.Cut(path, "/")
		if next := l.vars[len(vars)]; next.segment == index {
			if name, isRest := strings.CutSuffix(next.name, "..."); isRest {
				return append(vars, Var{Name: name, Value: path})
			}
			vars = append(vars, Var{Name: next.name, Value: segment})
		}
		path = remaining
	}
	return vars
}

// add inserts a route whose pattern is valid, or returns the route that already has its place.
func (x *routeIndex) add(route *Route) *Route {
	trie := x.trie(route.Method)
	at := &trie.root
	var vars []pathVar
	for index, segment := range strings.Split(route.Path[1:], "/") {
		name, isVariable := variableName(segment)
		if !isVariable {
			at = at.child(segment)
			continue
		}
		vars = append(vars, pathVar{name: name, segment: index})
		if strings.HasSuffix(name, "...") {
			if at.rest != nil {
				return at.rest.route
			}
			at.rest = &leaf{route: route, vars: vars}
			return nil
		}
		if at.variable == nil {
			at.variable = &node{}
		}
		at = at.variable
	}
	if at.end != nil {
		return at.end.route
	}
	at.end = &leaf{route: route, vars: vars}
	return nil
}

func (x *routeIndex) trie(method string) *methodTrie {
	for i := range x.methods {
		if x.methods[i].method == method {
			return &x.methods[i]
		}
	}
	x.methods = append(x.methods, methodTrie{method: method})
	return &x.methods[len(x.methods)-1]
}

func (n *node) child(segment string) *node {
	at, found := slices.BinarySearchFunc(n.literals, segment, func(e edge, s string) int {
		return cmp.Compare(e.segment, s)
	})
	if !found {
		n.literals = slices.Insert(n.literals, at, edge{segment: segment, next: &node{}})
	}
	return n.literals[at].next
}

func variableName(segment string) (string, bool) {
	if len(segment) > 2 && segment[0] == '{' && segment[len(segment)-1] == '}' {
		return segment[1 : len(segment)-1], true
	}
	return "", false
}

// canonicalPath reports whether the path has exactly one reading, with or without percent-decoding.
func canonicalPath(path string) bool {
	if path == "" || path[0] != '/' || len(path) > maxPathLength {
		return false
	}
	segments, start := 1, 1
	for i := 1; i <= len(path); i++ {
		if i == len(path) || path[i] == '/' {
			segment := path[start:i]
			if segment == "." || segment == ".." || (segment == "" && i < len(path)) {
				return false
			}
			if i < len(path) {
				if segments++; segments > maxPathSegments {
					return false
				}
			}
			start = i + 1
			continue
		}
		switch c := path[i]; {
		case c == '%':
			if !canonicalEscape(path[i:]) {
				return false
			}
		case c <= ' ' || c >= 0x7f || c == '\\' || c == ';' || c == '?' || c == '#':
			// ";" starts parameters that some servers cut off before they route.
			return false
		}
	}
	return true
}

// canonicalEscape reports whether text starts with an escape that has to be one: no slash, no
// backslash, no control character and no character that is valid unescaped.
func canonicalEscape(text string) bool {
	if len(text) < 3 {
		return false
	}
	high, low := unhex(text[1]), unhex(text[2])
	if high < 0 || low < 0 {
		return false
	}
	c := byte(high<<4 | low)
	return c != '/' && c != '\\' && c >= ' ' && c != 0x7f && !unreserved(c)
}

func unhex(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// unreserved reports whether c is an unreserved character of RFC 3986.
func unreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' ||
		c == '-' || c == '.' || c == '_' || c == '~'
}
