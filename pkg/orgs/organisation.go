package orgs

// Organisation is a customer of the operator. Its callers share a rank and an allotment.
type Organisation struct {
	Name string
	// Priority is the rank of its requests. Lower values go first, and it goes before the
	// priority of a route.
	Priority int
	// PerSecond and Burst are the allotment: the number of requests a second that all entry
	// hosts together may take for the organisation, and how many more at once. PerSecond is
	// zero if there is no limit.
	PerSecond, Burst float64
}

// HasAllotment reports whether the number of requests is limited.
func (o *Organisation) HasAllotment() bool {
	return o != nil && o.PerSecond > 0
}
