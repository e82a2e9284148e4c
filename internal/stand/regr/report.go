package regr

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// changeThreshold is the difference in worth from which a day counts as changed; processor time is measured.
const changeThreshold = 0.03

// Report writes each site's newest score beside the one before it, day by day.
func Report(scores map[string][]Score, out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "Site\tDay\tBefore\tNow\tChange\tRemark")
	for _, site := range slices.Sorted(maps.Keys(scores)) {
		list := scores[site]
		now := &list[len(list)-1]
		before := &Score{}
		if len(list) > 1 {
			before = &list[len(list)-2]
		}
		for i := range now.Days {
			if now.Days[i].isStandard() {
				writeDay(table, site, &now.Days[i], before)
			}
		}
		writeMean(table, site, now, before)
	}
	return table.Flush()
}

func writeMean(table io.Writer, site string, now, before *Score) {
	if len(before.Days) == 0 {
		fmt.Fprintf(table, "%s\tMean with trouble\t\t%.3f\t\t\n", site, now.Mean())
		return
	}
	fmt.Fprintf(table, "%s\tMean with trouble\t%.3f\t%.3f\t%+.3f\t\n", site, before.Mean(), now.Mean(), now.Mean()-before.Mean())
}

func writeDay(table io.Writer, site string, day *Day, before *Score) {
	place := slices.IndexFunc(before.Days, func(d Day) bool { return d.Name == day.Name })
	if place < 0 {
		fmt.Fprintf(table, "%s\t%s\t\t%.3f\t\t%s\n", site, day.Name, day.NetValue, remark(day, 0))
		return
	}
	change := day.NetValue - before.Days[place].NetValue
	fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%+.3f\t%s\n", site, day.Name, before.Days[place].NetValue, day.NetValue, change, remark(day, change))
}

// remark says what is wrong with a day.
func remark(day *Day, change float64) string {
	for _, rule := range slices.Sorted(maps.Keys(day.RuleViolations)) {
		return "broken rule " + rule
	}
	switch {
	case !day.GatePassed:
		return "gate failed"
	case change < -changeThreshold:
		return "worse"
	case change > changeThreshold:
		return "better"
	default:
		return ""
	}
}
