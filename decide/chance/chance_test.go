package chance

import "testing"

func TestDraws(t *testing.T) {
	a, b, sum := PCG{7}, PCG{7}, 0.0
	for range 1000 {
		x, y := Between(&a, int64(10), 20), Between(&b, int64(10), 20)
		if x != y || x < 10 || x >= 20 {
			t.Fatalf("%d and %d of 10 to 20", x, y)
		}
		if Between(&a, int64(30), 20) != 30 {
			t.Fatal("a span that ends before it begins")
		}
		b.Next()
		sum += a.Float64()
		b.Next()
	}
	if sum < 450 || sum > 550 {
		t.Errorf("the mean of a thousand shares is %v", sum/1000)
	}
}
