package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// documentCount is the number of documents on which a client asks, each of them a part of the prompt.
	documentCount = 16
	// Sound prompts on other documents come in each documentInterval. On the documents of one of badEvery, a prompt with
	// the part comes badDelay later.
	documentInterval = 250 * time.Millisecond
	badEvery         = 4
	badDelay         = 1 * time.Second
)

func init() { cases["documents"] = playDocuments }

// playDocuments sends prompts on documents. All share their first part and their caller. As the disruption, some documents
// are asked on again with the part that crashes runners, at another entry.
func playDocuments(w *world) int {
	p, ok := w.newPartCase()
	if !ok {
		return exitNotRun
	}
	var group sync.WaitGroup
	began := time.Now()
	for set := 0; time.Since(began) < partTime; set++ {
		number := p.next()
		group.Go(func() { p.sendParts(number, documents(set)+fmt.Sprintf("%x:160", 0xaa0000+number%7), false) })
		if w.hasTrouble && time.Since(began) > calmTime && set%badEvery == 0 {
			group.Go(func() {
				time.Sleep(badDelay)
				p.sendParts(number+1, documents(set)+badPart+":160", true)
			})
		}
		time.Sleep(documentInterval)
	}
	group.Wait()
	return p.judge()
}

// documents returns the entries of the first part and of the documents.
func documents(set int) string {
	var text strings.Builder
	text.WriteString("5c1e07a2:60,")
	for i := range documentCount {
		fmt.Fprintf(&text, "%x:45,", 0xd0c0000+set*documentCount+i)
	}
	return text.String()
}
