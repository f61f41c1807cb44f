package group

// ReplicaStatus is the log status that a replica last reported.
type ReplicaStatus struct {
	Name string
	// Term is the highest term that the replica has accepted.
	Term uint64
	// Position is the position of its last log entry.
	Position uint64
	// Following is set while the replica replicates from the primary of Term.
	Following bool
}

// CopyCount returns how many instances, including the primary, hold the entry that the primary
// of a term wrote at a position. Only replicas that follow the primary in that term count: the
// log of another replica may be as long but end in different writes.
func CopyCount(primary string, term, position uint64, replicas []ReplicaStatus) int {
	n := 1
	for _, r := range replicas {
		if r.Name != primary && r.Following && r.Term == term && r.Position >= position {
			n++
		}
	}
	return n
}
