package regr

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// changeThreshold is the difference in net value above which a day counts as changed. Smaller differences
// arise by chance, because the measured CPU time is part of the costs.
const changeThreshold = 0.03

// Report writes a table that compares the newest score of each site with the previous one, day by day.
// Fresh days and days that only the previous score has are left out.
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
		fmt.Fprintf(table, "%s\tMean without quiet days\t\t%.3f\t\t\n", site, now.Mean())
		return
	}
	fmt.Fprintf(table, "%s\tMean without quiet days\t%.3f\t%.3f\t%+.3f\t\n", site, before.Mean(), now.Mean(), now.Mean()-before.Mean())
}

func writeDay(table io.Writer, site string, day *Day, before *Score) {
	index := slices.IndexFunc(before.Days, func(d Day) bool { return d.Name == day.Name })
	if index < 0 {
		fmt.Fprintf(table, "%s\t%s\t\t%.3f\t\t%s\n", site, day.Name, day.NetValue, remark(day, 0))
		return
	}
	change := day.NetValue - before.Days[index].NetValue
	fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%+.3f\t%s\n", site, day.Name, before.Days[index].NetValue, day.NetValue, change, remark(day, change))
}

// remark returns what is most notable about a day, or an empty string. A violated rule, the first by name, comes
// before a failed gate, and that before the direction of the change in net value.
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
