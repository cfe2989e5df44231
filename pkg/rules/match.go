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
	// Match is the route that matches a request, with the values of its path variables.
	Match struct {
		Route *Route
		Vars  []Var // in the order of the pattern
	}

	// Var is a path variable; its value is percent-encoded as the caller sent it.
	Var struct {
		Name  string
		Value string
	}

	// routeIndex contains one trie of path segments per method.
	routeIndex struct {
		methods []methodTrie
	}

	methodTrie struct {
		method string
		root   node
	}

	// node stands for a prefix of path segments. Literals are tried before the variable, and the variable
	// before the rest, so that the most specific pattern wins from left to right.
	node struct {
		literals []edge // sorted by segment once the trie is complete
		variable *node
		end      *leaf // of the pattern that ends here
		rest     *leaf // of the pattern that ends in {name...} here
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

// Match returns the route for a method and an escaped path (url.URL.EscapedPath); HEAD requests use the GET
// routes. A path that a backend server could resolve to a different one (empty, "." or ".." segments, encoded
// slashes, needlessly encoded characters) matches no route, so that it cannot bypass a keyed route.
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
	index, found := slices.BinarySearchFunc(n.literals, segment, func(e edge, s string) int {
		return cmp.Compare(e.segment, s)
	})
	if !found {
		return nil
	}
	return n.literals[index].next
}

// values returns the path variables. It allocates once, or not at all when the pattern has no variables.
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

// add inserts a route with a valid pattern, or returns the existing route whose pattern matches the same
// paths.
func (r *routeIndex) add(route *Route) *Route {
	trie := r.trie(route.Method)
	current := &trie.root
	var vars []pathVar
	for index, segment := range strings.Split(route.Path[1:], "/") {
		name, isVariable := variableName(segment)
		if !isVariable {
			current = current.child(segment)
			continue
		}
		vars = append(vars, pathVar{name: name, segment: index})
		if strings.HasSuffix(name, "...") {
			if current.rest != nil {
				return current.rest.route
			}
			current.rest = &leaf{route: route, vars: vars}
			return nil
		}
		if current.variable == nil {
			current.variable = &node{}
		}
		current = current.variable
	}
	if current.end != nil {
		return current.end.route
	}
	current.end = &leaf{route: route, vars: vars}
	return nil
}

func (r *routeIndex) trie(method string) *methodTrie {
	for i := range r.methods {
		if r.methods[i].method == method {
			return &r.methods[i]
		}
	}
	r.methods = append(r.methods, methodTrie{method: method})
	return &r.methods[len(r.methods)-1]
}

func (n *node) child(segment string) *node {
	index, found := slices.BinarySearchFunc(n.literals, segment, func(e edge, s string) int {
		return cmp.Compare(e.segment, s)
	})
	if !found {
		n.literals = slices.Insert(n.literals, index, edge{segment: segment, next: &node{}})
	}
	return n.literals[index].next
}

func variableName(segment string) (string, bool) {
	if len(segment) > 2 && segment[0] == '{' && segment[len(segment)-1] == '}' {
		return segment[1 : len(segment)-1], true
	}
	return "", false
}

// canonicalPath reports whether the path has the same meaning with and without percent-decoding.
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
			// ";" starts parameters that some servers remove before routing.
			return false
		}
	}
	return true
}

// canonicalEscape reports whether text starts with a necessary percent-encoding, that is, of a character other
// than a slash, a backslash, a control character or one that is valid unescaped.
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
