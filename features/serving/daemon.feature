Feature: what keeps a daemon and its peers alive under load

  Scenario: a storm of one kind of line is bounded and counted
    # A replica fails every request and each failure is a line. Writing them
    # all would cost more than the requests.
    Given a log sink on a pipe that is read
    When 3000 lines of one kind come at once, and one more a second later
    Then about 1000 of them are written and the rest is counted

  Scenario: a log reader that stops reading costs lines, and no time
    # The collector hangs and the pipe fills. A daemon that waits for it serves
    # nobody.
    Given a log sink on a pipe that nobody reads
    When 4 MB of lines come
    Then the sink comes back at once and holds a megabyte at most
    And once the pipe is read it tells how many lines were lost

  Scenario: a daemon that is cut off does not spend the others' retries
    # It believes the others dead. Were it to count itself alone, six such
    # daemons would spend six times what is allowed.
    Given a daemon that believes five others dead
    Then it still shares the retries with them

  Scenario: a decider that goes silent is left within a second
    # It is frozen with pieces in its queue, and its connections stay open. The
    # requests that wait for it must not wait until their end.
    Given a daemon that waits for another one to make pieces
    When the other one stops answering questions
    Then the wait ends within 1200 ms and the next decider is asked

  Scenario: a queue whose service another daemon decides for is handed over
    # The decider is leaving. What it has not begun goes to the next one, what
    # it has begun stays.
    Given a decider with one group begun and one that waits
    When another daemon decides for the service
    Then the waiting group is given back and the begun one goes on

  Scenario: a stream whose time is over as its events are read loses none
    # A host freezes for four seconds in mid-stream. As it wakes events wait to be
    # read, and the time to wait for them is over. They counted as passed on, were
    # not written, and the stream went on elsewhere behind them.
    Given a stream of which an event is read after its time is over
    When the attempt is ended for it
    Then all events that count as passed on were written

  Scenario: a stream whose time is over as it ends is ended
    # Guards against a stream with all its events that looks cut.
    Given a stream that has ended as its time is over
    When the attempt is ended for it
    Then the caller's stream has its end
