package chance

import "testing"

// Guards against draws that differ between two generators with the same seed, leave their range or are not uniform.
func TestDraws(t *testing.T) {
	a, b, sum := PCG{7}, PCG{7}, 0.0
	for range 1000 {
		x, y := Between(&a, int64(10), 20), Between(&b, int64(10), 20)
		if x != y || x < 10 || x >= 20 {
			t.Fatalf("same seed: drew %d and %d, want equal values in [10, 20)", x, y)
		}
		if Between(&a, int64(30), 20) != 30 {
			t.Fatal("empty range [30, 20): want its lower bound 30")
		}
		b.Next()
		sum += a.Float64()
		b.Next()
	}
	if sum < 450 || sum > 550 {
		t.Errorf("mean of 1000 draws from [0, 1) is %v, want 0.45 to 0.55", sum/1000)
	}
}
