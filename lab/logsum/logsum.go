// Package logsum sums the log files of a fleet of proxies: counters by interval of time, and other lines by message. An
// effect that is small in the counters of one proxy shows in the sum over many.
package logsum

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	maxLineLength = 1 << 20 // bytes
	// maxIntervals bounds the distance of a line's interval from the first, so that a clock that jumps does not fill the
	// memory.
	maxIntervals = 100_000
	// maxSeries bounds the number of counters and messages.
	maxSeries = 1_000
	// maxTimestamp is the largest accepted time, in Unix seconds.
	maxTimestamp = 1e12
)

// countersMessage is the message of log lines that hold counters.
const countersMessage = "counters"

// Sum holds the sums over a directory of logs. Each line is counted in exactly one of CounterLines, OtherLines and Skipped.
type Sum struct {
	Interval     time.Duration
	Files        int
	Lines        int // without empty ones
	CounterLines int
	OtherLines   int
	// Skipped counts the lines that could not be read, by reason.
	Skipped map[string]int

	started   bool                       // a line was read
	startTime float64                    // Unix seconds of the first line read, rounded down
	series    map[string]map[int]float64 // sums by counter or message, then by interval
}

// gauges are counters that report a current level. Their values are summed as they are, not as the difference to the last.
var gauges = map[string]bool{"clients.open": true, "servers.open": true}

// ignoredCounters are left out because maxima and versions cannot be summed.
var ignoredCounters = map[string]bool{"engine.queue_longest": true, "engine.queue_delay_ms": true, "engine.stall_ms": true,
	"discovery.version": true}

// ReadDir reads all files of a directory whose names end in .log, one per proxy, and sums them by interval.
func ReadDir(dir string, interval time.Duration) (*Sum, error) {
	if interval <= 0 {
		return nil, fmt.Errorf("interval of %v is not positive", interval)
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s: no .log files found", dir)
	}
	slices.Sort(files)
	s := &Sum{Interval: interval, Skipped: map[string]int{}, series: map[string]map[int]float64{}}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		err = s.readFile(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		s.Files++
	}
	return s, nil
}

// readFile reads the log of one proxy. A line that cannot be read is counted by reason and skipped.
func (s *Sum) readFile(in io.Reader) error {
	r := bufio.NewReaderSize(in, maxLineLength)
	previous := map[string]float64{} // the last value of each counter
	for {
		line, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			s.Lines++
			s.Skipped["too long"]++
			for errors.Is(err, bufio.ErrBufferFull) {
				_, err = r.ReadSlice('\n')
			}
			line = nil
		}
		if line = bytes.TrimSpace(line); len(line) > 0 {
			s.Lines++
			if reason := s.addLine(line, previous); reason != "" {
				s.Skipped[reason]++
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// addLine adds a line to the sums. It returns the reason if it cannot be read. previous holds the last value of each
// counter, and is updated.
func (s *Sum) addLine(line []byte, previous map[string]float64) (skipReason string) {
	seconds, hasTime := 0.0, false
	// The program that collects the logs may put its own time, in Unix seconds, before the JSON text.
	if prefix, rest, ok := bytes.Cut(line, []byte(" ")); ok && line[0] != '{' {
		parsed, err := strconv.ParseFloat(string(prefix), 64)
		if err != nil || !(parsed >= 0 && parsed < maxTimestamp) {
			return "no time ahead"
		}
		seconds, hasTime, line = parsed, true, bytes.TrimSpace(rest)
	}
	var fields map[string]any
	if err := json.Unmarshal(line, &fields); err != nil {
		return "not JSON"
	}
	message, ok := fields["message"].(string)
	if !ok {
		return "no message"
	}
	if ms, ok := fields["time"].(float64); !hasTime && ok {
		seconds, hasTime = ms/1000, true
	}
	if !hasTime {
		return "no time"
	}
	if !s.started {
		s.started, s.startTime = true, math.Floor(seconds)
	}
	interval := math.Floor((seconds - s.startTime) / s.Interval.Seconds())
	if math.Abs(interval) > maxIntervals {
		return "time far from the others"
	}
	if message != countersMessage {
		if message == "serving" { // a new process, whose counters start at 0
			clear(previous)
		}
		s.OtherLines++
		level, _ := fields["level"].(string)
		s.add(level+": "+message, int(interval), 1)
		return ""
	}
	s.CounterLines++
	for group, object := range fields {
		counters, ok := object.(map[string]any)
		if !ok {
			continue
		}
		for name, value := range counters {
			n, ok := value.(float64)
			name = group + "." + name
			switch {
			case !ok || ignoredCounters[name]:
			case gauges[name]:
				s.add(name, int(interval), n)
			default:
				s.add(name, int(interval), n-previous[name])
				previous[name] = n
			}
		}
	}
	return ""
}

// add adds n to a series in an interval. Series beyond maxSeries are dropped.
func (s *Sum) add(name string, interval int, n float64) {
	values := s.series[name]
	if values == nil {
		if len(s.series) >= maxSeries {
			return
		}
		values = map[int]float64{}
		s.series[name] = values
	}
	values[interval] += n
}

// Series returns the sums of a counter or message by interval. Examples of names are "engine.gave_up_no_room" and
// "warn: text of a line".
func (s *Sum) Series(name string) map[int]float64 { return s.series[name] }

// Write prints a table of the series whose name contains match: a row per series with any sum that is not 0, a column per
// interval in which any of them is not 0.
func (s *Sum) Write(w io.Writer, match string) error {
	nonZero := map[int]bool{}
	var names []string
	for name, values := range s.series {
		if !strings.Contains(name, match) {
			continue
		}
		show := false
		for interval, n := range values {
			if math.Round(n) != 0 {
				nonZero[interval], show = true, true
			}
		}
		if show {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var columns []int
	for interval := range nonZero {
		columns = append(columns, interval)
	}
	slices.Sort(columns)
	fmt.Fprintf(w, "%d files, %d lines: %d of counters, %d others", s.Files, s.Lines, s.CounterLines, s.OtherLines)
	var skipped []string
	for reason, n := range s.Skipped {
		skipped = append(skipped, fmt.Sprintf("%d %s", n, reason))
	}
	slices.Sort(skipped)
	fmt.Fprintf(w, "; passed over: %s\n", cmp.Or(strings.Join(skipped, ", "), "none"))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "seconds from\t")
	for _, interval := range columns {
		fmt.Fprintf(table, "%g\t", float64(interval)*s.Interval.Seconds())
	}
	fmt.Fprintln(table)
	for _, name := range names {
		fmt.Fprintf(table, "%s\t", name)
		for _, interval := range columns {
			fmt.Fprintf(table, "%.0f\t", s.series[name][interval])
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}
