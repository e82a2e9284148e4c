package choose

// hedgeReserve is the part of the saved extra attempts that hedges leave to retries.
func (p *Pool) hedgeReserve() float64 {
	if p.settings.ExtraBurst > 0 {
		return p.extraAttemptBurst() * reserveShare
	}
	return defaultRetryReserve
}

// extraAttemptBurst is this host's part of the extra attempts that may be saved up.
func (p *Pool) extraAttemptBurst() float64 {
	burst := p.settings.ExtraBurst
	if burst == 0 {
		burst = extraBurst
	}
	if most := p.settings.BurstHosts; most > 0 && p.sharingHosts > most {
		return burst * float64(most) / float64(p.sharingHosts)
	}
	return burst
}

// reserveFor is the part of the saved extra attempts that retries of a request
// leave to more urgent ones: when most attempts fail, the budget is spent by rank.
func (p *Pool) priorityReserve(r *pending) float64 {
	if p.settings.ExtraBurst == 0 {
		return 0
	}
	return p.extraAttemptBurst() * reserveShare * float64(min(r.Priority, maxReserveRank))
}
