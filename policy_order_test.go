package kiteslip

import (
	"testing"
)

// A tenant within its quota goes before one that floods.
func TestWithinQuotaBeforeOverQuota(t *testing.T) {
	h := newHarness(t, func(s *Settings) {
		s.Cores, s.Tenants = 1, []Tenant{{Quota: 4}, {Quota: 4}}
		s.OverShareWorth = 0.05
	})
	for id := RequestID(100); id < 140; id++ { // tenant 0 requests far more than its quota
		h.step(1000+int64(id), arrival(id, 0), Event{Kind: Done, ID: id, Outcome: OK})
		h.step(1000+int64(id), Event{Kind: Done, ID: id, Outcome: OK})
	}
	flood, within := arrival(1, 0), arrival(2, 0)
	within.Tenant = 1
	acts := h.step(100_000, flood, within)
	h.want(acts, Run, 2, true)
	h.want(acts, Run, 1, false)
}

// In order of arrival, all of a long queue was answered just before its target time, too late for requests
// that had lost time with earlier tries.
func TestNewestFirstWhileQueueIsTooLong(t *testing.T) {
	h := newHarness(t, nil)
	h.step(1000, arrival(1, 0), arrival(2, 0))
	h.step(2000, arrival(3, 0))
	h.step(300_000, arrival(4, 0))
	for _, c := range []struct {
		pressure float64
		first    RequestID
	}{{0.5, 3}, {2, 4}} {
		h.w.waitRatio = c.pressure
		if compareSortKeys(h.w.sortKey(h.w.byID[3]), h.w.sortKey(h.w.byID[4])) < 0 != (c.first == 3) {
			t.Errorf("wait ratio %v: want %d first", c.pressure, c.first)
		}
	}
}

// A tenant refused because it floods passed for the worst served, and was put first.
func TestOverQuotaTenantHasNoDeficit(t *testing.T) {
	h := newHarness(t, func(s *Settings) {
		s.Tenants = []Tenant{{Quota: 8}, {Quota: 8}}
		s.Goal = Goal{Whole: 1, WorstTenant: 1}
	})
	for id := RequestID(1); id < 200; id++ {
		e := arrival(id, 0)
		if id%10 == 0 { // two a second, its quota; every second one is served
			e.Tenant = 1
		}
		now := int64(id) * 50_000
		h.step(now, e)
		if id%20 == 0 || id%4 == 1 {
			h.step(now+20_000, Event{Kind: Done, ID: id, Outcome: OK})
		} else {
			h.step(now+20_000, Event{Kind: Disconnected, ID: id})
		}
	}
	if flood, within := h.w.serviceDeficit(&h.w.tenants[0].usage, &h.w.allTenants), h.w.serviceDeficit(&h.w.tenants[1].usage, &h.w.allTenants); flood >= within {
		t.Errorf("service deficits: %v of the flood, %v of the tenant within its quota", flood, within)
	}
}

// Retries were answered after the target time, which counts from the first try, and earned nothing.
func TestRetriesHaveEarlierSoftDeadline(t *testing.T) {
	left := func(h *harness, id RequestID) int64 { return h.w.find(id).latestUseful - h.w.find(id).arrivedAt }
	h := newHarness(t, nil)
	marked := arrival(2, 0)
	marked.Retry = true
	h.step(1000, arrival(1, 0), marked)
	if left(h, 1) != 2_000_000 || left(h, 2) != 1_400_000 {
		t.Errorf("a first try has %d left, a marked one %d", left(h, 1), left(h, 2))
	}
	// Unmarked: the time that the caller has left shows its age, unless it is a common timeout.
	h = newHarness(t, func(s *Settings) { s.MemoryKB = 1e6 })
	for id := RequestID(1); id <= 60; id++ {
		e := arrival(id, 0)
		e.Deadline = 1000 + 4_000_000
		if id%3 == 0 { // callers with a short timeout of their own: no age
			e.Deadline = 1000 + 1_000_000
		}
		h.step(1000, e)
	}
	old := arrival(100, 0)
	old.Deadline = 1000 + 3_000_000
	h.step(1000, old)
	for id, want := range map[RequestID]int64{58: 2_000_000, 60: 2_000_000, 100: 1_000_000} {
		if got := left(h, id); got < want-100_000 || got > want+100_000 {
			t.Errorf("request %d has %d us of its target time left, want %d", id, got, want)
		}
	}
}

// Where worth is earned by work, classes of long runs were put last without reason.
func TestWorthByWork(t *testing.T) {
	for byWork, first := range map[bool]RequestID{false: 2, true: 1} {
		h := newHarness(t, func(s *Settings) {
			s.Cores, s.WorthByWork = 1, byWork
			s.Classes = []Class{{TargetTime: 3_000_000, Timeout: 5_000_000, Worth: 2}, {TargetTime: 3_000_000, Timeout: 5_000_000, Worth: 1}}
		})
		h.w.setMeanWork(0, 400_000)
		h.w.setMeanWork(1, 100_000)
		h.want(h.step(1000, arrival(1, 0), arrival(2, 1)), Run, first, true)
	}
}
