package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

type (
	// Problem is one error in a rules file and the way to fix it.
	Problem struct {
		File    string `json:"file"`
		Line    int    `json:"line"`   // from 1
		Column  int    `json:"column"` // in characters, from 1
		Message string `json:"message"`
		Fix     string `json:"fix"`
	}

	// Problems are all errors of a rules file in the order of their position.
	Problems []Problem
)

// Error returns the problem in one line: file:line:column: message; fix: how.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s; fix: %s", p.File, p.Line, p.Column, p.Message, p.Fix)
}

// Error returns one line per problem.
func (p Problems) Error() string {
	var text strings.Builder
	for i, problem := range p {
		if i > 0 {
			text.WriteByte('\n')
		}
		text.WriteString(problem.Error())
	}
	return text.String()
}

func (p Problems) sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
