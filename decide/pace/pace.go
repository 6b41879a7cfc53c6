// Package pace gives an instance of many its pace back at a server that all share and that was short. Each comes there once
// in seconds, and a quick answer tells it nothing by itself: at a server that is asked no more than it does, nine in ten are
// quick, however short it is. So it tries: it jumps to the pace of before at once, and what follows tells. A jump that was
// wrong is taken back to where it began, not cut on from there, and the next one waits for four times as many quick answers
// in a row; one that holds makes the next as cheap as the first. A server that is free has its pace back within an answer
// each, and one that stays short is tried less and less. Nothing here reads a clock or draws by chance.
package pace

const (
	held    = 3       // quick answers more than a jump took, until it is held for right
	dearer  = 4       // times as many quick answers before a jump that follows a wrong one
	dearest = 64      // of them
	back    = 4.0 / 5 // of the pace that a wrong jump began at
)

// Recovery is one instance's way back. The zero value has never lost its pace.
type Recovery struct {
	best float64 // the highest pace that was ever cut
	from float64 // that the last jump began at; 0: none is to be judged
	row  int     // quick answers since a cut, or since the jump
	need int     // so many before one
}

// ObserveQuick books an answer as quick as ever, and gives the pace that follows.
func (b *Recovery) ObserveQuick(pace float64) float64 {
	b.row++
	switch {
	case b.from > 0 && b.row > b.need+held:
		b.from, b.row, b.need = 0, 0, 1
	case b.from == 0 && pace < b.best && b.row >= b.need:
		b.from, b.row = pace, 0
		return b.best
	}
	return pace
}

// ObserveCut books that a pace is about to be cut, for a failure or one slow answer. It tells whether a jump was wrong: then the
// pace is back where it has to be, and is not cut.
func (b *Recovery) ObserveCut(pace *float64, failed bool) (wrong bool) {
	if b.from > 0 && failed {
		*pace, b.from, b.row, b.need = b.from*back, 0, 0, min(dearer*b.need, dearest)
		return true
	}
	b.best, b.row, b.need = max(b.best, *pace), 0, max(b.need, 1)
	return false
}
