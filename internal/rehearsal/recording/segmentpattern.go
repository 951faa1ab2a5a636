package recording

import (
	"regexp"
	"strings"
)

// segmentPattern is a regular expression of the form that most rules have: literal text and
// single path segments in turn. Matching it without the regexp package, which took two thirds of
// an import's time, is much faster; all other expressions are left to that package.
type segmentPattern struct {
	literals     []string // literals[0] segment literals[1] segment ... literals[n]
	mayBeEmpty   []bool   // by segment
	groupSegment int      // the segment that is the first group; -1: none
	anchoredEnd  bool     // the expression ends with $
}

const (
	segmentClass      = "[^/]"
	segmentExpression = segmentClass + "+" // or *
)

// compileSegmentPattern compiles an expression; nil: it does not have the form.
func compileSegmentPattern(expression string) *segmentPattern {
	rest, ok := strings.CutPrefix(expression, "^")
	if !ok {
		return nil
	}
	pattern := &segmentPattern{groupSegment: -1}
	rest, pattern.anchoredEnd = strings.CutSuffix(rest, "$")
	for {
		start := strings.Index(rest, segmentClass)
		if start < 0 || start+len(segmentExpression) > len(rest) {
			break
		}
		rest, ok = pattern.addSegment(rest[:start], rest[start+len(segmentClass)], rest[start+len(segmentExpression):])
		if !ok {
			return nil
		}
	}
	pattern.literals = append(pattern.literals, rest)
	for _, literal := range pattern.literals {
		if regexp.QuoteMeta(literal) != literal {
			return nil
		}
	}
	return pattern
}

// addSegment adds a segment with the literal before it, and returns the rest of the expression.
func (p *segmentPattern) addSegment(before string, repetition byte, after string) (rest string, ok bool) {
	if repetition != '+' && repetition != '*' {
		return "", false
	}
	if literal, isGroup := strings.CutSuffix(before, "("); isGroup {
		if p.groupSegment >= 0 || !strings.HasPrefix(after, ")") {
			return "", false
		}
		before = literal
		after = after[1:]
		p.groupSegment = len(p.literals)
	}
	// What follows a segment must begin where it ends, or there may be other matches.
	if after != "" && after[0] != '/' || after == "" && !p.anchoredEnd {
		return "", false
	}
	p.literals = append(p.literals, before)
	p.mayBeEmpty = append(p.mayBeEmpty, repetition == '*')
	return after, true
}

// match matches a path; group is the text of the first group.
func (p *segmentPattern) match(path string) (group string, ok bool) {
	for i, literal := range p.literals {
		if !strings.HasPrefix(path, literal) {
			return "", false
		}
		path = path[len(literal):]
		if i == len(p.literals)-1 {
			break
		}
		end := strings.IndexByte(path, '/')
		if end < 0 {
			end = len(path)
		}
		if end == 0 && !p.mayBeEmpty[i] {
			return "", false
		}
		if i == p.groupSegment {
			group = path[:end]
		}
		path = path[end:]
	}
	return group, !p.anchoredEnd || path == ""
}
