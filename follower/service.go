package follower

import "time"

// serviceRecord records when the store served, by the confirmations of a Follower's state, to tell a short failure of
// calls, such as that of one connection, from an outage in which upstreams could not renew their registrations.
type serviceRecord struct {
	// shortestLapse is the time from the beginning of an outage until the first registration can lapse; 0 if unknown.
	// renewalTime is the time of service in which each upstream renews its registration.
	shortestLapse, renewalTime time.Duration
	// begunAt and lastAt are the first and the last of the latest confirmations that have no gap above maxReadGap;
	// zero if there are none.
	begunAt, lastAt time.Time
	// renewedAt is the latest confirmation at which the store had served for renewalTime; zero if there is none.
	renewedAt time.Time
}

// SetRegistrationLease sets how long a registration lasts after it was renewed and how often, approximately, upstreams
// renew it. An outage of the store that is too short for a registration to lapse explains no removal. Until it is called,
// and if both are 0, a registration may lapse in any outage.
func (f *Follower) SetRegistrationLease(lease, renewalInterval time.Duration) {
	f.service.renewalTime = renewalInterval + renewalInterval/4
	f.service.shortestLapse = max(0, lease-f.service.renewalTime)
}

// confirm records that the store served at a time after all earlier ones.
func (r *serviceRecord) confirm(at time.Time) {
	if r.lastAt.IsZero() || at.Sub(r.lastAt) > maxReadGap {
		r.begunAt = at
	}
	r.lastAt = at
	if at.Sub(r.begunAt) >= r.renewalTime {
		r.renewedAt = at
	}
}

// allowsLapse reports whether a registration can have lapsed by the time now because its upstream could not reach the store.
func (r *serviceRecord) allowsLapse(now time.Time) bool {
	return r.renewedAt.IsZero() || now.Sub(r.renewedAt) >= r.shortestLapse
}

// clear discards all recorded times.
func (r *serviceRecord) clear() {
	r.begunAt, r.lastAt, r.renewedAt = time.Time{}, time.Time{}, time.Time{}
}
