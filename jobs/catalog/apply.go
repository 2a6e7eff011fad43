package catalog

import (
	"slices"
	"time"

	"yarrowgrade.example/yarrowgrade/jobs/topic"
)

// apply applies records, and stores when they were last confirmed to be the newest.
func (f *Follower) apply(u topic.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cordons := f.cordons
	if u.Snapshot {
		cordons = f.cordonsInSnapshot(u.Records)
	}
	for _, r := range u.Records {
		if r.Key == f.format.ConfigKey && r.Value != nil {
			f.applyConfig(r)
		}
		if zone, ok := f.format.zoneOf(r.Key); ok {
			cordons = f.applyCordon(cordons, zone, r, u.Snapshot)
		}
	}
	f.replaceCordons(cordons)
	if !u.SyncedAt.IsZero() {
		f.syncedAt = u.SyncedAt
	}
}

// cordonsInSnapshot returns the current cordons that still have a record in a snapshot. f.mu must
// be held.
func (f *Follower) cordonsInSnapshot(records []topic.StoredRecord) Cordons {
	kept := Cordons{}
	for _, r := range records {
		if zone, ok := f.format.zoneOf(r.Key); ok && f.cordons.Has(zone) {
			kept = kept.With(f.cordons[zone])
		}
	}
	return kept
}

// applyConfig applies a configuration if it is newer than the current one. f.mu must be held.
func (f *Follower) applyConfig(r topic.StoredRecord) {
	c, err := f.format.DecodeConfig(r.Value)
	if err != nil {
		f.logger.Error().Str("step", "catalog.decode").Err(err).Int64("offset", r.Offset).
			Msg("cannot decode configuration")
		return
	}
	if f.current != nil && c.Version <= f.current.Version {
		return
	}
	f.current = c
	f.notify()
	f.logger.Info().Str("step", "catalog.put").Int64("version", c.Version).Int("queues", len(c.Queues)).
		Msg("configuration applied")
}

// applyCordon returns the cordons with a record applied. A malformed record is ignored, except in a
// snapshot: earlier records are missing there, so the zone is assumed to be cordoned.
func (f *Follower) applyCordon(cordons Cordons, zone string, r topic.StoredRecord, snapshot bool) Cordons {
	if r.Value == nil {
		return cordons.Without(zone)
	}
	if err := f.format.CheckCordon(r.Value); err != nil {
		f.logger.Error().Str("step", "catalog.cordon").Str("zone", zone).Err(err).Int64("offset", r.Offset).
			Msg("invalid cordon record")
		if !snapshot {
			return cordons
		}
	}
	return cordons.With(Cordon{Zone: zone, Revision: r.Offset, Since: time.Now()})
}

// replaceCordons sets the current cordons and logs the changes. f.mu must be held.
func (f *Follower) replaceCordons(cordons Cordons) {
	previous := f.cordons
	f.cordons = cordons
	changed := false
	for zone, c := range cordons {
		if !previous.Has(zone) {
			changed = true
			f.logCordoned(c)
		}
	}
	for zone, c := range previous {
		if !cordons.Has(zone) {
			changed = true
			f.logger.Info().Str("step", "catalog.cordon").Str("zone", zone).Dur("cordoned_ms", time.Since(c.Since)).
				Msg("zone is no longer cordoned")
		}
	}
	if changed {
		f.notify()
	}
}

func (f *Follower) logCordoned(c Cordon) {
	f.logger.Info().Str("step", "catalog.cordon").Str("zone", c.Zone).Int64("revision", c.Revision).
		Msg("zone is cordoned")
	if len(f.format.Zones) > 0 && !slices.Contains(f.format.Zones, c.Zone) {
		f.logger.Warn().Str("step", "catalog.cordon").Str("zone", c.Zone).Strs("zones", f.format.Zones).
			Msg("cordoned zone does not exist")
	}
}

// notify closes the channel that Changed returned, and replaces it. f.mu must be held.
func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}
