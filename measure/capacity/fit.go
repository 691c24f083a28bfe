package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Point is the value measured at one size.
type Point struct {
	Size, Value float64
}

// Slope is a line fitted to measured points: Value = Fixed + PerSize * Size.
// Spread is the residual standard deviation of the points.
type Slope struct {
	Name, Size, Unit       string
	Points                 []Point
	Fixed, PerSize, Spread float64
}

// NewSlope fits a line to the points by least squares.
func NewSlope(name, size, unit string, points []Point) Slope {
	s := Slope{Name: name, Size: size, Unit: unit, Points: points}
	n := float64(len(points))
	if n == 0 {
		return s
	}
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.Size / n
		meanY += p.Value / n
	}
	var sxx, sxy float64
	for _, p := range points {
		sxx += (p.Size - meanX) * (p.Size - meanX)
		sxy += (p.Size - meanX) * (p.Value - meanY)
	}
	if sxx > 0 {
		s.PerSize = sxy / sxx
	}
	s.Fixed = meanY - s.PerSize*meanX
	if len(points) < 3 {
		return s
	}
	var residual float64
	for _, p := range points {
		residual += math.Pow(p.Value-s.At(p.Size), 2)
	}
	// The fit of two parameters leaves n - 2 degrees of freedom.
	s.Spread = math.Sqrt(residual / (n - 2))
	return s
}

// At returns the value of the line at size.
func (s Slope) At(size float64) float64 { return s.Fixed + s.PerSize*size }

// Last returns the value at the largest measured size.
func (s Slope) Last() float64 {
	largest := Point{Size: math.Inf(-1), Value: math.NaN()}
	for _, p := range s.Points {
		if p.Size > largest.Size {
			largest = p
		}
	}
	return largest.Value
}

// Mean returns the mean value of the points, for costs that do not depend on the
// size.
func (s Slope) Mean() float64 {
	sum := 0.0
	for _, p := range s.Points {
		sum += p.Value
	}
	return sum / float64(len(s.Points))
}

func (s Slope) formatPoints() string {
	parts := make([]string, 0, len(s.Points))
	for _, p := range s.Points {
		parts = append(parts, formatNumber(p.Size)+": "+formatNumber(p.Value))
	}
	return strings.Join(parts, ", ") + " (" + s.Size + ")"
}

func (s Slope) formatFit() string {
	return fmt.Sprintf("%s + %s/%s", formatNumber(s.Fixed), formatNumber(s.PerSize), strings.TrimSuffix(s.Size, "s"))
}

// formatNumber formats v with three significant digits, or as a whole number if
// its magnitude is 1,000 or more.
func formatNumber(v float64) string {
	if math.Abs(v) >= 1000 && math.Abs(v) < 1e15 {
		return groupThousands(strconv.FormatFloat(math.Round(v), 'f', 0, 64))
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}

// groupThousands inserts commas between groups of three digits.
func groupThousands(digits string) string {
	sign := ""
	if rest, negative := strings.CutPrefix(digits, "-"); negative {
		sign, digits = "-", rest
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return sign + digits
}
