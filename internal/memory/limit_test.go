package memory

import "testing"

func TestConnectionsGiveWayToASmallLimit(t *testing.T) {
	for _, c := range []struct {
		limit                   int64
		processes, wanted, want int
	}{
		{32 << 20, 1, 512, 512},
		{32 << 20, 2, 256, 256},
		{32 << 20, 1, 128, 128},
		{192 << 20, 1, 512, 512},
		{16 << 20, 1, 512, 256},
	} {
		if got := MaxConns(c.limit, c.processes, c.wanted); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

func TestTheCollectorsLimitLeavesRoomForTheCode(t *testing.T) {
	for _, c := range []struct {
		limit     int64
		processes int
		want      int64
	}{
		{32 << 20, 1, 20 << 20},
		{32 << 20, 2, 5 << 20},
		{192 << 20, 1, 144 << 20},
		{8 << 20, 1, 2 << 20},
	} {
		if got := CollectorLimit(c.limit, c.processes); got != c.want {
			t.Errorf("%d bytes for %d processes: %d, want %d", c.limit, c.processes, got, c.want)
		}
	}
}
