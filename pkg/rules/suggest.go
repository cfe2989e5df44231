package rules

import (
	"fmt"
	"strings"
)

const maxQuoted = 40 // characters of the file that a message quotes

// suggest returns the known word that is most similar to text, or the list of all known words.
func suggest(text string, known []string) string {
	best, distance := "", 3
	if len(text) <= maxQuoted {
		for _, candidate := range known {
			if d := editDistance(text, candidate); d < distance && d < len(candidate) {
				best, distance = candidate, d
			}
		}
	}
	if best != "" {
		return fmt.Sprintf("%q", best)
	}
	return "one of " + strings.Join(known, ", ")
}

// editDistance returns the number of inserted, removed and replaced bytes between two short words.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, diagonal+1, row[j]+1)
		}
	}
	return row[len(b)]
}

func shorten(text string) string {
	count := 0
	for i := range text {
		if count++; count > maxQuoted {
			return text[:i] + "…"
		}
	}
	return text
}
