package tarragonwell

import (
	"cmp"
	"crypto/sha256"
	"time"
)

// PlatformPosition is a position in the history of the platform's data. The field or
// parameter that holds it states whether the data was published, read or processed.
type PlatformPosition struct {
	// Rules may lack its digest.
	Rules RulesVersion
	List  ListPosition
}

// ListPosition is a position in the history of the platform's list. The zero value is
// before the first list.
type ListPosition struct {
	// Era rises by one each time the platform has come back from a copy of its data. Its
	// revisions then go back, and are given out again for other changes. It is 0 if the
	// platform states none.
	Era uint64
	// Revision orders the positions of one era.
	Revision uint64
}

// After reports whether p is the later position.
func (p ListPosition) After(q ListPosition) bool {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision)) > 0
}

// PlatformUpdate is the result of one read from the platform.
type PlatformUpdate struct {
	// Rules is nil if the rules have not changed.
	Rules *PublishedRules
	// List is nil if the list has not changed.
	List *ListChange
	// Invalid holds the entries of the list that were skipped.
	Invalid []InvalidEntry
}

// InvalidEntry is an entry of the platform's list that describes neither a usable target
// nor a drain. The log event for it is entry-unreadable.
type InvalidEntry struct {
	// ID is the ID of the target, or the whole key if the entry is not that of a target.
	ID       string
	Revision uint64
	// Err describes why the entry is invalid.
	Err error
}

// PublishedRules is a rules file as read from the platform or a peer, not yet
// parsed.
type PublishedRules struct {
	// Generation, Era and Revision are those of RulesVersion.
	Generation uint64
	Era        uint64
	Revision   uint64
	Content    []byte
}

// Version returns the version of the rules.
func (p *PublishedRules) Version() RulesVersion {
	v := p.Position()
	digest := sha256.Sum256(p.Content)
	v.Digest = digest[:]
	return v
}

// Position returns the version of the rules without its digest.
func (p *PublishedRules) Position() RulesVersion {
	return RulesVersion{
		Generation: p.Generation,
		Era:        p.Era,
		Revision:   p.Revision,
	}
}

// ListChange is a change of the platform's list of targets and instances.
type ListChange struct {
	// Era is that of all revisions in the change; see ListPosition.
	Era uint64
	// Since is the revision that the change applies to, or 0 if the change is a
	// full list.
	Since uint64
	// Revision is the revision of the list once the change is applied.
	Revision uint64
	// Targets holds the new and the changed entries.
	Targets []ListedTarget
	// Removed holds the targets whose entries were removed.
	Removed []RemovedTarget
	// Instances replaces the list of instances if the change is a full list.
	Instances []ListedInstance
	// Drains holds the drains in force: those that are new or, in a full list, all.
	Drains []DataCenterDrain
	// EndedDrains holds the drains that have ended, with the revision of their end.
	EndedDrains []DataCenterDrain
}

// Position returns the position of the list once the change is applied.
func (c *ListChange) Position() ListPosition {
	return ListPosition{
		Era:      c.Era,
		Revision: c.Revision,
	}
}

// DataCenterDrain is the platform's entry that takes a data centre out of service.
type DataCenterDrain struct {
	DataCenter string
	// Revision is the revision at which the entry was written or, if the drain has ended,
	// removed.
	Revision uint64
}

// DrainInForce is a data centre that is out of service, with the sources of its drain, of
// which there is at least one.
type DrainInForce struct {
	DataCenter string
	// Revision is that of the platform's entry; 0 if there is none.
	Revision uint64
	// Line is the line of the rules file; its Number is 0 if there is none.
	Line RuleLine
}

// ListedTarget is a target's entry on the platform's list, which may lag behind
// the actual state of the target.
type ListedTarget struct {
	// ID is never reused for another target. It is empty or the address if the
	// platform assigns no ID; see Identity.
	ID         string
	Service    string
	Address    string
	DataCenter string
	Leaving    bool
	// Slots is the number of requests that the target runs concurrently, or 0 if
	// the list does not contain it.
	Slots int
	// Born is a number that changes with each start of the target under the same ID.
	// Only its equality matters. It is 0 if the list does not contain it.
	Born uint64
	// WarmUpRemaining is what remained of the target's warm-up time, during which it is
	// slower than normal, when the entry was received. It is set in a ListChange only.
	WarmUpRemaining time.Duration
	// WarmUpUntil is the end of that time, counted from the receipt of the entry; zero if
	// the target is not warming up. It is set by listing.Listing only.
	WarmUpUntil time.Time
	// Revision is the revision of the entry's latest change, or 0 if the list does
	// not contain it.
	Revision uint64
	// Delisted is set if the entry was removed from the list too recently to conclude
	// that the target has stopped. Such a target is used only as a last resort. It is
	// not set in a mass removal, which is attributed to a fault of the platform.
	Delisted bool
	// Drained is set if the data centre of the target is out of service. It follows from
	// the drains and the rules, and is not passed on to peers.
	Drained bool
}

// Identity returns the target's ID, or its address if the platform assigns no ID.
func (l ListedTarget) Identity() string {
	if l.ID == "" {
		return l.Address
	}
	return l.ID
}

// RemovedTarget records that a target's entry was removed from the list.
type RemovedTarget struct {
	ID       string
	Revision uint64
}

// ListedInstance is an instance of tarragonwell on the platform's list.
type ListedInstance struct {
	// Address is the address that callers connect to.
	Address string
	// PeerAddress is the address that other instances connect to.
	PeerAddress string
	DataCenter  string
	Leaving     bool
}
