package entry

import (
	"context"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/plat"
)

// storeSeedsAfter is how long a fresh host waits to hear of others before it looks for them in the store.
const storeSeedsAfter = 2 * time.Second

// runStoreSeeds looks for other hosts in the store if the seeds of the settings led to
// none, and makes this host known there while callers are steered to it: these
// hosts are few, and know all others.
func (d *Daemon) runStoreSeeds() {
	isAnnounced := false
	for d.ctx.Err() == nil {
		d.pause(storeSeedsAfter)
		d.mu.Lock()
		isAlone := len(d.members.Members(time.Now())) < 2
		isSteered := !d.isUnsteered()
		d.mu.Unlock()
		if isAlone {
			d.readStoreSeeds()
		}
		if !isSteered || isAnnounced {
			continue
		}
		if err := d.announce(); err != nil {
			d.platLog.Debug("announcing this host in the store failed; it is tried again", "Error", err.Error())
			continue
		}
		isAnnounced = true
	}
}

func (d *Daemon) announce() error {
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	err := d.adapter.Store.Announce(ctx, d.settings.Name, []byte(d.settings.PeerAdvertised))
	d.counters.countStoreCall(TopicEntryHosts, err)
	return err
}

func (d *Daemon) readStoreSeeds() {
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	delta, err := d.adapter.Store.Newest(ctx, TopicEntryHosts)
	d.counters.countStoreCall(TopicEntryHosts, err)
	if err != nil {
		d.platLog.Warn("looking for other entry hosts in the store failed", "Error", err.Error())
		return
	}
	hosts := make([]plat.Host, 0, len(delta.Facts))
	for _, f := range delta.Facts {
		hosts = append(hosts, plat.Host{Name: f.Key, Role: plat.RoleEntry, Address: string(f.Value), State: plat.StateLive})
	}
	d.mu.Lock()
	d.storeSeeds = hosts
	d.mu.Unlock()
	d.contactSeeds()
}
