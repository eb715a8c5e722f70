package rules

import "github.com/tarragonwell/tarragonwell/pkg/tarragonwell"

// Change is one difference between two rules files.
type Change struct {
	// Action is "added", "removed" or "altered".
	Action string
	// Line is the new rule, or the old one where it was removed.
	Line tarragonwell.RuleLine
}

// Compare lists what next changes against previous, which may be nil.
func Compare(previous, next *tarragonwell.RuleSet) []Change {
	old := map[string]tarragonwell.RuleLine{}
	if previous != nil {
		for _, l := range previous.Lines {
			old[l.Key] = l
		}
	}
	var changes []Change
	for _, l := range next.Lines {
		o, found := old[l.Key]
		delete(old, l.Key)
		if !found {
			changes = append(changes, change("added", l))
		} else if o.Text != l.Text {
			changes = append(changes, change("altered", l))
		}
	}
	if previous == nil {
		return changes
	}
	for _, l := range previous.Lines {
		if _, left := old[l.Key]; left {
			changes = append(changes, change("removed", l))
		}
	}
	return changes
}

func change(verb string, l tarragonwell.RuleLine) Change {
	return Change{
		Action: verb,
		Line:   l,
	}
}
