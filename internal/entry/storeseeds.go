package entry

import (
	"context"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/plat"
)

// storeSeedsPeriod is the time between two checks whether this host must look for seeds in the store or announce itself there.
const storeSeedsPeriod = 2 * time.Second

// runStoreSeeds reads seeds from the store while there is no other member in the table,
// for example because the seeds of the settings have all been replaced. It also announces
// this host in the store once in each era of the store, when it has become steered. It is enough that the steered
// hosts do so, which are few, because a host finds the others through their tables.
func (d *Daemon) runStoreSeeds() {
	isAnnounced, announcedEra := false, uint64(0)
	for d.ctx.Err() == nil {
		d.pause(storeSeedsPeriod)
		d.mu.Lock()
		isAlone := len(d.members.Members(time.Now())) < 2
		isSteered := !d.isUnsteered()
		d.mu.Unlock()
		if isAlone {
			d.readStoreSeeds()
		}
		era := d.storeEra()
		if !isSteered || (isAnnounced && era == announcedEra) {
			continue
		}
		if err := d.announce(); err != nil {
			d.platLog.Debug("announcing this host in the store failed; retrying", "Error", err.Error())
			continue
		}
		isAnnounced, announcedEra = true, era
	}
}

// announce writes this host's peer address to the topic of entry hosts.
func (d *Daemon) announce() error {
	ctx, cancel := context.WithTimeout(d.ctx, storeTimeout)
	defer cancel()
	err := d.adapter.Store.Announce(ctx, d.settings.Name, []byte(d.settings.PeerAdvertised))
	d.counters.countStoreCall(TopicEntryHosts, err)
	return err
}

// readStoreSeeds replaces storeSeeds with the entry hosts listed in the store, and
// exchanges tables with all seeds.
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
