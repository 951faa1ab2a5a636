package recording

import (
	"regexp"
	"strings"
)

// segmentPattern is a fast matcher for regular expressions in which literal text alternates with whole
// path segments, [^/]+ or [^/]*. Most rules use only such expressions. When the regexp package matched
// all paths, it took two thirds of the time of an import; it now matches only the other expressions.
type segmentPattern struct {
	literals     []string // text before each segment, and after the last one
	mayBeEmpty   []bool   // by segment: it is [^/]*
	groupSegment int      // index of the segment in parentheses; -1 if there is none
	anchoredEnd  bool     // the expression ends with $
}

const (
	segmentClass      = "[^/]"
	segmentExpression = segmentClass + "+" // or * in place of +, of the same length
)

// compileSegmentPattern compiles a regular expression. It returns nil if the expression does not have
// the form of a segment pattern.
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

// addSegment adds a segment and the literal before it, and returns the rest of the expression. ok is
// false if the expression does not have the form of a segment pattern.
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
	// A segment must end at a slash or at the end of the path. Otherwise the regular expression could
	// also match a shorter part of the segment.
	if after != "" && after[0] != '/' || after == "" && !p.anchoredEnd {
		return "", false
	}
	p.literals = append(p.literals, before)
	p.mayBeEmpty = append(p.mayBeEmpty, repetition == '*')
	return after, true
}

// match reports whether the path matches. group is the text of the segment in parentheses,
// or empty if there is none.
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
