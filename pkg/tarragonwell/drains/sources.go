package drains

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// Combine returns the drains in force from both sources, ordered by data centre. A data
// centre that both drain returns when both have ended.
func Combine(platform []tarragonwell.DataCenterDrain, rules map[string]*tarragonwell.DataCenter) []tarragonwell.DrainInForce {
	byName := map[string]tarragonwell.DrainInForce{}
	for _, d := range platform {
		byName[d.DataCenter] = tarragonwell.DrainInForce{
			DataCenter: d.DataCenter,
			Revision:   d.Revision,
		}
	}
	for name, rule := range rules {
		if !rule.Drain {
			continue
		}
		d := byName[name]
		d.DataCenter = name
		d.Line = rule.Line
		byName[name] = d
	}
	var out []tarragonwell.DrainInForce
	for _, d := range byName {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b tarragonwell.DrainInForce) int {
		return cmp.Compare(a.DataCenter, b.DataCenter)
	})
	return out
}

// Source describes where a drain comes from.
func Source(d tarragonwell.DrainInForce) string {
	switch {
	case d.Line.Number == 0:
		return fmt.Sprintf("platform revision %d", d.Revision)
	case d.Revision == 0:
		return fmt.Sprintf("line %d of the rules", d.Line.Number)
	default:
		return fmt.Sprintf("platform revision %d and line %d of the rules", d.Revision, d.Line.Number)
	}
}

// Mark sets Drained of the targets, by service, whose data centres are out of service. It
// returns the number of targets that each drain affects.
func Mark(targets map[string][]tarragonwell.ListedTarget, inForce []tarragonwell.DrainInForce) []int {
	index := map[string]int{}
	for i, d := range inForce {
		index[d.DataCenter] = i
	}
	affected := make([]int, len(inForce))
	for _, list := range targets {
		for n := range list {
			i, drained := index[list[n].DataCenter]
			list[n].Drained = drained
			if drained {
				affected[i]++
			}
		}
	}
	return affected
}
