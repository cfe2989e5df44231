package rules

import (
	"fmt"
	"math"
	"strings"
)

const (
	maxNameLength  = 64
	maxSlots       = 100_000
	maxConnections = 1_000_000
	maxBurst       = 1_000_000
	maxRetries     = 10
)

// attribute is one name=value word of a kind of rule.
type attribute[T any] struct {
	name     string
	example  string // shown when the word or its value is missing
	required bool
	set      func(p *parser, target *T, value word)
}

var (
	serviceWords = []attribute[Service]{
		{"slots", "slots=110", true, func(p *parser, t *Service, v word) { t.Slots = p.integer(v, 1, maxSlots) }},
		{"connections", "connections=750", true, func(p *parser, t *Service, v word) {
			t.Connections = p.integer(v, 1, maxConnections)
		}},
		{"retry-share", "retry-share=10%", false, func(p *parser, t *Service, v word) { t.RetryShare = p.percent(v) }},
		{"cold-rate", "cold-rate=13/s", false, func(p *parser, t *Service, v word) { t.ColdRate = p.coldRate(v) }},
		{"cold-period", "cold-period=3s", false, func(p *parser, t *Service, v word) { t.ColdPeriod = p.coldPeriod(v) }},
		{"long-answers", "long-answers=stay", false, func(p *parser, t *Service, v word) { t.LongAnswersStay = p.fixedValue(v, "stay") }},
	}
	accountWords = []attribute[Account]{
		{"rate", "rate=200/s", true, func(p *parser, t *Account, v word) { t.Rate = p.rate(v) }},
		{"burst", "burst=400", true, func(p *parser, t *Account, v word) { t.Burst = p.integer(v, 1, maxBurst) }},
		{"regions", "regions=eu,us", false, func(p *parser, t *Account, v word) { t.Regions = p.regions(v) }},
	}
	keyWords = []attribute[Key]{
		{"state", "state=withdrawn", false, func(p *parser, t *Key, v word) { t.State = enumWord[State](p, stateNames, v) }},
	}
	routeWords = []attribute[Route]{
		{"service", "service=reader", true, func(p *parser, t *Route, v word) { t.Service = p.name(v, "service") }},
		{"access", "access=keyed", true, func(p *parser, t *Route, v word) { t.Access = enumWord[Access](p, accessNames, v) }},
		{"accounts", "accounts=first,second", false, func(p *parser, t *Route, v word) { t.Accounts = p.accounts(v) }},
		{"run", "run=idempotent", true, func(p *parser, t *Route, v word) { t.Run = enumWord[Run](p, runNames, v) }},
		{"importance", "importance=normal", false, func(p *parser, t *Route, v word) {
			t.Importance = enumWord[Importance](p, importanceNames, v)
		}},
		{"deadline", "deadline=2s", true, func(p *parser, t *Route, v word) { t.Deadline = p.deadline(v) }},
		{"retries", "retries=2", false, func(p *parser, t *Route, v word) { t.Retries = p.integer(v, 0, maxRetries) }},
		{"offline", "offline=serve", false, func(p *parser, t *Route, v word) { t.Offline = p.fixedValue(v, "serve") }},
		{"nested", "nested=only", false, func(p *parser, t *Route, v word) { t.Nested = p.fixedValue(v, "only") }},
		{"regions", "regions=eu,us", false, func(p *parser, t *Route, v word) { t.Regions = p.regions(v) }},
	}
	kinds = []string{string(KindRevision), string(KindService), string(KindAccount), string(KindKey), string(KindRoute)}
)

// parseRule parses the words of one rule.
func (p *parser) parseRule(rule Rule) {
	rule.Kind = Kind(p.words[0].text)
	if p.set.revision.Line == 0 && rule.Kind != KindRevision {
		p.report(p.words[0].offset, "the first rule is not the revision", `start the file with "revision N", where N is the revision in force plus one`)
		p.set.revision.Line = -1 // so that the problem is reported once
	}
	switch rule.Kind {
	case KindRevision:
		p.parseRevision(rule)
	case KindService:
		p.parseService(rule)
	case KindAccount:
		p.parseAccount(rule)
	case KindKey:
		p.parseKey(rule)
	case KindRoute:
		p.parseRoute(rule)
	default:
		p.report(p.words[0].offset, fmt.Sprintf("unknown kind of rule %q", rule.Kind), "use "+suggest(string(rule.Kind), kinds))
	}
}

func (p *parser) parseRevision(rule Rule) {
	switch line := p.set.revision.Line; {
	case line > 0:
		p.report(p.words[0].offset, fmt.Sprintf("the revision is already given on line %d", line), "remove one of the two lines")
		return
	case line < 0:
		p.report(p.words[0].offset, "the revision is not the first rule", "move the line to the top of the file")
	}
	p.set.revision.Line = rule.Line // set even when the number is invalid, so that later rules do not report a missing revision
	value, ok := p.argument(1, "the revision number", "revision 42")
	if !ok {
		return
	}
	p.reportExtraWord(2)
	rule.Name = value.text
	number := p.integer(value, 1, math.MaxInt)
	p.set.revision = Revision{Rule: rule, Number: uint64(number)}
	p.set.Revision, p.set.Author, p.set.Reason = uint64(number), rule.Requester, rule.Reason
}

func (p *parser) parseService(rule Rule) {
	service := &Service{RetryShare: DefaultRetryShare}
	if !p.parseName(&rule, "service reader slots=110 connections=750") {
		return
	}
	parseWords(p, service, serviceWords, p.words[2:])
	service.Rule = rule
	if p.declare(rule, len(p.set.Services), maxServices) {
		p.set.Services[rule.Name] = service
	}
}

func (p *parser) parseAccount(rule Rule) {
	account := &Account{}
	if !p.parseName(&rule, "account pocket-reader rate=200/s burst=400") {
		return
	}
	parseWords(p, account, accountWords, p.words[2:])
	account.Rule = rule
	if p.declare(rule, len(p.set.Accounts), maxAccounts) {
		p.set.Accounts[rule.Name] = account
	}
}

func (p *parser) parseKey(rule Rule) {
	const form = "key pocket-reader sha256:<64 hex digits>"
	key := &Key{State: KeyActive}
	if !p.parseName(&rule, form) {
		return
	}
	value, ok := p.argument(2, "the hash of the key", form)
	if !ok {
		return
	}
	hash, ok := parseHash(value.text)
	if !ok {
		p.report(value.offset, fmt.Sprintf("%q is not the hash of a key", shorten(value.text)),
			`write "sha256:" and 64 lower-case hex digits, as buckthornctl create-key prints them`)
		return
	}
	parseWords(p, key, keyWords, p.words[3:])
	key.Account, key.Hash = rule.Name, hash
	rule.Name = KeyName(key.Account, hash)
	key.Rule = rule
	if line, found := p.hashes[hash]; found {
		p.report(value.offset, fmt.Sprintf("the key is already listed on line %d", line), "remove one of the two lines")
		return
	}
	p.hashes[hash] = rule.Line
	if line, found := p.names[ruleKey{KindKey, rule.Name}]; found {
		p.report(value.offset, fmt.Sprintf("the first %d digits of the hash are those of the account's key on line %d", keyDigits, line),
			"create another key")
		return
	}
	if p.declare(rule, len(p.set.Keys), maxKeys) {
		p.set.Keys = append(p.set.Keys, key)
		p.set.keys[hash.prefix()] = append(p.set.keys[hash.prefix()], key)
	}
}

func (p *parser) parseRoute(rule Rule) {
	const form = "route GET /works/{id} service=reader access=open run=idempotent deadline=2s"
	route := &Route{Importance: Normal, Retries: DefaultRetries}
	method, ok := p.argument(1, "the method", form)
	if !ok {
		return
	}
	path, ok := p.argument(2, "the path", form)
	if !ok {
		return
	}
	route.Method, route.Path = method.text, path.text
	validMethod, validPath := p.method(method), p.pattern(path)
	parseWords(p, route, routeWords, p.words[3:])
	rule.Name = route.Method + route.Path
	route.Rule = rule
	if !validMethod || !validPath {
		return
	}
	if len(p.set.Routes) >= maxRoutes {
		p.reportTooMany(KindRoute, maxRoutes)
		return
	}
	if earlier := p.set.routes.add(route); earlier != nil {
		p.reportOverlap(route, earlier, path)
		return
	}
	p.set.Routes = append(p.set.Routes, route)
}

func (p *parser) reportOverlap(route, earlier *Route, path word) {
	if earlier.Path == route.Path {
		p.report(path.offset, fmt.Sprintf("the route %s %s is already given on line %d", route.Method, route.Path, earlier.Line),
			"remove one of the two lines")
		return
	}
	p.report(path.offset, fmt.Sprintf("the route never matches, because %s on line %d takes all its paths", earlier.Path, earlier.Line),
		"remove one of the two lines or make one path more specific")
}

// parseWords sets the attributes of target and reports unknown, repeated and missing words.
func parseWords[T any](p *parser, target *T, known []attribute[T], words []word) {
	var seen uint32 // one bit per known attribute
next:
	for _, w := range words {
		name, value, found := strings.Cut(w.text, "=")
		for i := range known {
			if known[i].name != name {
				continue
			}
			switch {
			case seen&(1<<i) != 0:
				p.report(w.offset, fmt.Sprintf("%q is given twice", name), "remove one of the two words")
			case !found || value == "":
				p.report(w.offset, fmt.Sprintf("%q has no value", name), fmt.Sprintf("write for example %q", known[i].example))
			default:
				known[i].set(p, target, word{text: value, offset: w.offset + len(name) + 1})
			}
			seen |= 1 << i
			continue next
		}
		names := make([]string, len(known))
		for i := range known {
			names[i] = known[i].name
		}
		p.report(w.offset, fmt.Sprintf("unknown word %q", shorten(name)), "use "+suggest(name, names))
	}
	for i := range known {
		if known[i].required && seen&(1<<i) == 0 {
			last := p.words[len(p.words)-1]
			p.report(last.offset+len(last.text), fmt.Sprintf("%q is missing", known[i].name), fmt.Sprintf("add for example %q", known[i].example))
		}
	}
}

// parseName sets the name of the rule from its second word.
func (p *parser) parseName(rule *Rule, form string) bool {
	value, ok := p.argument(1, "the name", form)
	if !ok {
		return false
	}
	rule.Name = p.name(value, string(rule.Kind))
	return rule.Name != ""
}

// argument returns the word at index, which must not contain "=".
func (p *parser) argument(index int, what, form string) (word, bool) {
	if index < len(p.words) && !strings.Contains(p.words[index].text, "=") {
		return p.words[index], true
	}
	last := p.words[min(index, len(p.words))-1]
	p.report(last.offset+len(last.text), what+" is missing", fmt.Sprintf("write %q", form))
	return word{}, false
}

// reportExtraWord reports the word at index, after the end of the rule.
func (p *parser) reportExtraWord(index int) {
	if index < len(p.words) {
		p.report(p.words[index].offset, fmt.Sprintf("unknown word %q", shorten(p.words[index].text)), "remove the word")
	}
}

// declare records the name of a rule and reports whether the name is new and the file has fewer rules of the
// kind than the limit.
func (p *parser) declare(rule Rule, count, limit int) bool {
	name := ruleKey{rule.Kind, rule.Name}
	if line, found := p.names[name]; found {
		p.report(p.words[1].offset, fmt.Sprintf("%s %q is already given on line %d", rule.Kind, rule.Name, line), "remove one of the two lines or rename one")
		return false
	}
	p.names[name] = rule.Line
	if count >= limit {
		p.reportTooMany(rule.Kind, limit)
		return false
	}
	return true
}

func (p *parser) reportTooMany(kind Kind, limit int) {
	p.report(p.words[0].offset, fmt.Sprintf("the file has more than %d rules of kind %q", limit, kind), "remove rules that are no longer needed")
}
