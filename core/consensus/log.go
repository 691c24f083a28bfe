package consensus

// entryOverheadBytes approximates the memory that an entry takes in addition to
// its data, about 145 bytes, here and in the write-ahead log.
const entryOverheadBytes = 144

// membersAt is a membership and the index of the entry that holds it.
type membersAt struct {
	index   uint64
	members Members
}

// entryLog holds the entries after offset and the memberships among them. The
// first element of configs is the membership in force at offset.
type entryLog struct {
	offset     uint64
	offsetTerm uint64
	entries    []Entry
	configs    []membersAt
	bytes      int
}

func (l *entryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of an entry, or false if the log does not hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns a copy of the entries in [from, to], cut off at maxBytes but with
// at least one entry.
func (l *entryLog) slice(from, to uint64, maxBytes int) []Entry {
	if from > to || from <= l.offset {
		return nil
	}
	all := l.entries[from-l.offset-1 : to-l.offset]
	size := 0
	for i := range all {
		size += entryBytes(&all[i])
		if i > 0 && size > maxBytes {
			all = all[:i]
			break
		}
	}
	return append([]Entry(nil), all...)
}

func entryBytes(e *Entry) int { return len(e.Data) + entryOverheadBytes }

func (l *entryLog) append(entries ...Entry) {
	for i := range entries {
		l.entries = append(l.entries, entries[i])
		l.bytes += entryBytes(&entries[i])
		if entries[i].Kind == EntryMembers && entries[i].Members != nil {
			l.configs = append(l.configs, membersAt{entries[i].Index, *entries[i].Members})
		}
	}
}

// truncate removes the entries from index from on.
func (l *entryLog) truncate(from uint64) {
	keep := from - l.offset - 1
	for i := keep; i < uint64(len(l.entries)); i++ {
		l.bytes -= entryBytes(&l.entries[i])
	}
	l.entries = l.entries[:keep:keep]
	n := len(l.configs)
	for n > 1 && l.configs[n-1].index >= from {
		n--
	}
	l.configs = l.configs[:n]
}

// compact drops the entries up to an index. It copies the remaining entries, so
// that the memory of the dropped ones is released.
func (l *entryLog) compact(to uint64) {
	if to <= l.offset {
		return
	}
	term, _ := l.term(to)
	for i := uint64(0); i < to-l.offset; i++ {
		l.bytes -= entryBytes(&l.entries[i])
	}
	l.entries = append([]Entry(nil), l.entries[to-l.offset:]...)
	l.offset, l.offsetTerm = to, term
	first := 0
	for first+1 < len(l.configs) && l.configs[first+1].index <= to {
		first++
	}
	l.configs = append([]membersAt(nil), l.configs[first:]...)
}

// reset replaces the log by an empty one that continues from a snapshot.
func (l *entryLog) reset(s *Snapshot) {
	*l = entryLog{offset: s.Index, offsetTerm: s.Term, configs: []membersAt{{s.Index, s.Members}}}
}

// config returns the newest membership, committed or not.
func (l *entryLog) config() membersAt { return l.configs[len(l.configs)-1] }

// configAt returns the membership in force at an index.
func (l *entryLog) configAt(index uint64) Members {
	for i := len(l.configs) - 1; i > 0; i-- {
		if l.configs[i].index <= index {
			return l.configs[i].members
		}
	}
	return l.configs[0].members
}
