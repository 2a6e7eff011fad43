package main

import (
	"errors"
	"net/http"
	"time"
)

const (
	// cancelLimit is cancel_ms of the settings.
	cancelLimit = 3 * time.Second
	// cutTime is how long an entry is cut off from the store.
	cutTime = 4 * time.Second
	// entryCut is the entry that is cut off, entryWhole another one.
	entryWhole, entryCut = 0, 2
)

// cancelAtCutEntry cuts one entry off from the store. Meanwhile a client submits a job at another entry,
// which accepts it, and cancels it within a second at the one that is cut off.
func cancelAtCutEntry(recordPath string, trouble bool) (result, error) {
	s, err := newSystem(recordPath, siteEntries, siteWorkers, sitePerRack, siteRoom, configuration(lots), oneService)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return notRun, err
	}
	const id = "aaaaaaaaaaaaaaa1"
	began := time.Now()
	if trouble {
		s.note("%s is cut off from the store for %v", s.entries[entryCut].name, cutTime)
		s.entries[entryCut].storeLink.cut.Store(true)
		time.AfterFunc(cutTime, func() {
			s.entries[entryCut].storeLink.cut.Store(false)
			s.note("%s reaches the store again", s.entries[entryCut].name)
		})
	}
	time.Sleep(500 * time.Millisecond)
	body := job(1, work{Need: whole, Millis: 12000}, nil)
	second := job(1, work{Need: whole, Millis: 12000}, map[string]any{"dependsOn": []int{0}})
	body["steps"] = append(body["steps"].([]any), second["steps"].([]any)...)
	if status, _ := s.call(entryWhole, 3*time.Second, http.MethodPost, "/batch/"+id, "key-lots", body); status != http.StatusOK {
		return notRun, errors.New("the job isn't accepted")
	}
	time.Sleep(800 * time.Millisecond)
	var acked time.Time
	for range 20 {
		status, _ := s.call(entryCut, 3*time.Second, http.MethodDelete, "/batch/"+id, "key-lots", nil)
		if status >= 200 && status < 300 || status == http.StatusGone {
			acked = time.Now()
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if acked.IsZero() {
		return notRun, errors.New("the cancelling isn't acknowledged")
	}
	s.note("the cancelling is acknowledged, %.1f s after the cut began", acked.Sub(began).Seconds())
	time.Sleep(time.Until(began.Add(20 * time.Second)))
	s.call(entryCut, 3*time.Second, http.MethodGet, "/batch/"+id, "key-lots", nil)
	r := held
	for _, start := range s.starts(id) {
		if after := start.at.Sub(acked); after > cancelLimit {
			s.note("%s began %.1f s after its job's cancelling was acknowledged: rule UNASKED is broken",
				start.task, after.Seconds())
			r = broken
		}
	}
	if r == held {
		s.note("no task of the job began later than %v after its cancelling was acknowledged: rule UNASKED held", cancelLimit)
	}
	return r, nil
}
