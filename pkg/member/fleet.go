package member

// FleetSize estimates the number of hosts of a fleet from the members in a table, and
// how many of these are alive. Members that are leaving don't count. A table may hold only
// the strongest hosts of each other failure domain. A domain with as many as that counts
// as large as the own one, with the same share of its hosts alive as in the table.
func FleetSize(members []Member, ownDomain string, maxPerOtherDomain int) (known, alive int) {
	knownIn, aliveIn := make(map[string]int), make(map[string]int)
	for i := range members {
		m := &members[i]
		if m.State == Leaving {
			continue
		}
		knownIn[m.FailureDomain]++
		if m.State == Alive {
			aliveIn[m.FailureDomain]++
		}
	}
	for domain, rows := range knownIn {
		hosts := rows
		if domain != ownDomain && rows >= maxPerOtherDomain {
			hosts = max(rows, knownIn[ownDomain])
		}
		known += hosts
		alive += hosts * aliveIn[domain] / rows
	}
	return known, alive
}
