package codec

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/blame"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/newspb"
)

// maxEvidence bounds the items of evidence of each kind that are read from one entry's news. Entries
// publish no more.
const maxEvidence = 16

// encodeBlame adds what the news says of requests that crash endpoints.
func encodeBlame(message *newspb.News, news input.News, now clock.Millis) {
	for _, crash := range news.Crashes {
		encoded := &newspb.Crash{Run: uint64(crash.Run), AgeMillis: ageOf(crash.At, now)}
		for _, lost := range crash.Lost {
			encoded.Lost = append(encoded.Lost, &newspb.Lost{
				Fingerprint: lost.Fingerprint, RanMillis: ageOf(lost.SentAt, crash.At), Parts: encodeParts(lost.Parts),
			})
		}
		message.Crashes = append(message.Crashes, encoded)
	}
	for _, acquittal := range news.Acquittals {
		message.Acquittals = append(message.Acquittals, &newspb.Acquittal{
			Part: uint64(acquittal.Part), AgeMillis: ageOf(acquittal.At, now),
		})
	}
	for _, verdict := range news.Verdicts {
		message.Verdicts = append(message.Verdicts, &newspb.Verdict{
			Parts: encodeParts(verdict.Parts), Crashes: uint32(verdict.Crashes), AgeMillis: ageOf(verdict.LastCrashAt, now),
		})
	}
	for _, loss := range news.Losses {
		message.Losses = append(message.Losses, &newspb.Loss{
			Fingerprint: loss.Fingerprint, Run: uint64(loss.Run), AgeMillis: ageOf(loss.At, now), RanMillis: ageOf(loss.SentAt, loss.At),
		})
	}
	for _, acquittal := range news.RequestAcquittals {
		message.RequestAcquittals = append(message.RequestAcquittals, &newspb.RequestAcquittal{
			Fingerprint: acquittal.Fingerprint, AgeMillis: ageOf(acquittal.At, now),
		})
	}
	for _, verdict := range news.RequestVerdicts {
		message.RequestVerdicts = append(message.RequestVerdicts, &newspb.RequestVerdict{
			Fingerprint: verdict.Fingerprint, Losses: uint32(verdict.Losses), AgeMillis: ageOf(verdict.LastAt, now),
		})
	}
}

// decodeBlame sets what the message says of requests that crash endpoints.
func decodeBlame(news *input.News, message *newspb.News, now clock.Millis) {
	for _, encoded := range message.Crashes[:min(len(message.Crashes), maxEvidence)] {
		crash := blame.Crash{Run: blame.Run(encoded.Run), At: now - clock.Millis(encoded.AgeMillis)}
		for _, lost := range encoded.Lost {
			crash.Lost = append(crash.Lost, blame.Lost{
				SentAt: crash.At - clock.Millis(lost.RanMillis), Fingerprint: lost.Fingerprint, Parts: decodeParts(lost.Parts),
			})
		}
		news.Crashes = append(news.Crashes, crash)
	}
	for _, encoded := range message.Acquittals[:min(len(message.Acquittals), maxEvidence)] {
		news.Acquittals = append(news.Acquittals, blame.Acquittal{
			Part: call.Part(encoded.Part), At: now - clock.Millis(encoded.AgeMillis),
		})
	}
	for _, encoded := range message.Verdicts[:min(len(message.Verdicts), maxEvidence)] {
		news.Verdicts = append(news.Verdicts, blame.Verdict{
			Parts: decodeParts(encoded.Parts), Crashes: int(encoded.Crashes), LastCrashAt: now - clock.Millis(encoded.AgeMillis),
		})
	}
	for _, encoded := range message.Losses[:min(len(message.Losses), maxEvidence)] {
		at := now - clock.Millis(encoded.AgeMillis)
		news.Losses = append(news.Losses, blame.Loss{
			Fingerprint: encoded.Fingerprint, Run: blame.Run(encoded.Run), SentAt: at - clock.Millis(encoded.RanMillis), At: at,
		})
	}
	for _, encoded := range message.RequestAcquittals[:min(len(message.RequestAcquittals), maxEvidence)] {
		news.RequestAcquittals = append(news.RequestAcquittals, blame.RequestAcquittal{
			Fingerprint: encoded.Fingerprint, At: now - clock.Millis(encoded.AgeMillis),
		})
	}
	for _, encoded := range message.RequestVerdicts[:min(len(message.RequestVerdicts), maxEvidence)] {
		news.RequestVerdicts = append(news.RequestVerdicts, blame.RequestVerdict{
			Fingerprint: encoded.Fingerprint, Losses: int(encoded.Losses), LastAt: now - clock.Millis(encoded.AgeMillis),
		})
	}
}

func ageOf(at, now clock.Millis) uint32 { return uint32(max(now-at, 0)) }

func encodeParts(parts []call.Part) []uint64 {
	var encoded []uint64
	for _, part := range parts {
		encoded = append(encoded, uint64(part))
	}
	return encoded
}

func decodeParts(encoded []uint64) []call.Part {
	var parts []call.Part
	for _, part := range encoded {
		parts = append(parts, call.Part(part))
	}
	return parts
}
