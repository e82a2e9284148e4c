package choose

// hedgeReserve is the number of saved extra attempts that hedges leave for retries.
func (p *Pool) hedgeReserve() float64 {
	if p.settings.ExtraBurst > 0 {
		return p.extraAttemptBurst() * reserveShare
	}
	return defaultRetryReserve
}

// extraAttemptBurst is the number of extra attempts that this host may save up. It
// shrinks when more than BurstHosts hosts share the targets.
func (p *Pool) extraAttemptBurst() float64 {
	burst := p.settings.ExtraBurst
	if burst == 0 {
		burst = defaultExtraBurst
	}
	if most := p.settings.BurstHosts; most > 0 && p.sharingHosts > most {
		return burst * float64(most) / float64(p.sharingHosts)
	}
	return burst
}

// priorityReserve is the number of saved extra attempts that a request leaves for more
// urgent ones. When most attempts fail, the budget is thus spent by priority.
func (p *Pool) priorityReserve(r *pending) float64 {
	if p.settings.ExtraBurst == 0 {
		return 0
	}
	return p.extraAttemptBurst() * reserveShare * float64(min(r.Priority, maxReservePriority))
}
