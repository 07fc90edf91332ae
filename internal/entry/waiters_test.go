// SPDX-FileCopyrightText: Copyright The sailhead contributors
// SPDX-License-Identifier: MIT

package entry

import "testing"

func TestARequestIsAnsweredOnceAndARemovedOneNever(t *testing.T) {
	type id uint64
	w := newWaiters[id, string]()
	first, firstAnswer := w.add()
	second, secondAnswer := w.add()
	w.remove(second)
	w.answer(first, "yes")
	w.answer(first, "again")
	w.answer(second, "late")
	if answer := <-firstAnswer; answer != "yes" {
		t.Errorf("got %q for the first request", answer)
	}
	for name, answered := range map[string]<-chan string{"answered": firstAnswer, "removed": secondAnswer} {
		select {
		case answer := <-answered:
			t.Errorf("the %s request got %q", name, answer)
		default:
		}
	}
	if count := w.count(); count != 0 {
		t.Errorf("%d requests still wait", count)
	}
}
