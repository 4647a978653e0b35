import test from 'ava'
import { createSubject } from './index.js'

test('the first observer of a buffering subject gets the earlier values, then the end', async t => {
  const subject = createSubject<number>({ holdUntilObserved: true })
  subject.next(1)
  const seen: number[] = []
  const ended = subject.stream.observe(value => seen.push(value))
  subject.next(2)
  subject.complete()
  await ended
  t.deepEqual(seen, [1, 2])
})

test('a buffering subject that failed before it was observed fails its observer', async t => {
  const subject = createSubject<number>({ holdUntilObserved: true })
  subject.fail(new Error('lost'))
  await t.throwsAsync(subject.stream.observe(() => {}), { message: 'lost' })
})
