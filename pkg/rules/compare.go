package rules

import (
	"cmp"
	"slices"
	"strings"
)

type (
	// Diff lists the rules that differ between two sets, each list ordered by line.
	Diff struct {
		From    uint64   `json:"from"` // revision, 0 for none
		To      uint64   `json:"to"`
		Added   []Change `json:"added"`
		Changed []Change `json:"changed"`
		Removed []Change `json:"removed"`
	}

	// Change is one rule that differs; Old is nil for an added rule, New for a removed rule.
	Change struct {
		Old     *Rule  `json:"old,omitempty"`
		New     *Rule  `json:"new,omitempty"`
		OldText string `json:"old-text,omitempty"` // canonical line
		NewText string `json:"new-text,omitempty"` // canonical line
	}

	ruleKey struct {
		kind Kind
		name string
	}
)

// Compare returns the differences between old and new; a nil old is an empty set. The revision rule is not
// compared, and a rule that moved to another line counts as unchanged.
func Compare(old, new *Set) Diff {
	diff := Diff{To: new.Revision, Added: []Change{}, Changed: []Change{}, Removed: []Change{}}
	before := map[ruleKey]Statement{}
	if old != nil {
		diff.From = old.Revision
		for _, s := range old.Statements() {
			before[keyOf(s)] = s
		}
	}
	for _, s := range new.Statements() {
		key := keyOf(s)
		if key.kind == KindRevision {
			continue
		}
		change := Change{New: RuleOf(s), NewText: CanonicalLine(s)}
		earlier, found := before[key]
		delete(before, key)
		switch {
		case !found:
			diff.Added = append(diff.Added, change)
		case CanonicalLine(earlier) != change.NewText:
			change.Old, change.OldText = RuleOf(earlier), CanonicalLine(earlier)
			diff.Changed = append(diff.Changed, change)
		}
	}
	for key, s := range before {
		if key.kind != KindRevision {
			diff.Removed = append(diff.Removed, Change{Old: RuleOf(s), OldText: CanonicalLine(s)})
		}
	}
	slices.SortFunc(diff.Removed, func(a, b Change) int { return cmp.Compare(a.Old.Line, b.Old.Line) })
	return diff
}

// Empty reports whether the sets contain the same rules.
func (d Diff) Empty() bool { return len(d.Added)+len(d.Changed)+len(d.Removed) == 0 }

// Statements returns all rules in the order of their lines.
func (s *Set) Statements() []Statement {
	all := make([]Statement, 0, 1+len(s.Services)+len(s.Accounts)+len(s.Keys)+len(s.Routes))
	if s.revision.Line > 0 {
		all = append(all, &s.revision)
	}
	for _, service := range s.Services {
		all = append(all, service)
	}
	for _, account := range s.Accounts {
		all = append(all, account)
	}
	for _, key := range s.Keys {
		all = append(all, key)
	}
	for _, route := range s.Routes {
		all = append(all, route)
	}
	slices.SortFunc(all, func(a, b Statement) int { return cmp.Compare(RuleOf(a).Line, RuleOf(b).Line) })
	return all
}

// Find returns the rule with the given identity, in the format that Identity returns. The line number is
// optional and ignored, because a rule keeps its name when it moves to another line.
func (s *Set) Find(identity string) (Statement, bool) {
	kind, name, _ := strings.Cut(identity, "/")
	if i := strings.LastIndexByte(name, '@'); i >= 0 {
		name = name[:i]
	}
	for _, statement := range s.Statements() {
		if keyOf(statement) == (ruleKey{kind: Kind(kind), name: name}) {
			return statement, true
		}
	}
	return nil, false
}

func keyOf(s Statement) ruleKey {
	rule := RuleOf(s)
	return ruleKey{kind: rule.Kind, name: rule.Name}
}
