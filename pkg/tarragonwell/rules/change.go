package rules

import "github.com/tarragonwell/tarragonwell/pkg/tarragonwell"

// Change is one difference between two rules files.
type Change struct {
	// Action is "added", "removed" or "altered".
	Action string
	// Line is the new rule, or the old one if it was removed.
	Line tarragonwell.RuleLine
}

// Compare lists the differences of next from previous, which may be nil. Rules are
// matched by key. Added and altered rules come first, in the order of next, then
// removed ones in the order of previous.
func Compare(previous, next *tarragonwell.RuleSet) []Change {
	old := map[string]tarragonwell.RuleLine{}
	if previous != nil {
		for _, l := range previous.Lines {
			old[l.Key] = l
		}
	}
	var changes []Change
	for _, l := range next.Lines {
		before, found := old[l.Key]
		delete(old, l.Key)
		if !found {
			changes = append(changes, newChange("added", l))
		} else if before.Text != l.Text {
			changes = append(changes, newChange("altered", l))
		}
	}
	if previous == nil {
		return changes
	}
	for _, l := range previous.Lines {
		if _, removed := old[l.Key]; removed {
			changes = append(changes, newChange("removed", l))
		}
	}
	return changes
}

func newChange(action string, l tarragonwell.RuleLine) Change {
	return Change{
		Action: action,
		Line:   l,
	}
}
