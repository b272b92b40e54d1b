Feature: membership among daemons

  Scenario: daemons agree after any faults, and always give an address
    # Hosts are killed, frozen, restarted and cut off in any order. A caller
    # that asks any daemon for addresses must get some, and a while after the
    # last fault exactly those that serve. Cause of a failure: news that is
    # lost, taken in the wrong order, or spread without bound.
    When membership runs through any faults
    Then membership kept its invariants

  Scenario: heartbeats to everybody break the same invariants
    # The naive version lists a stopping daemon until its silence is noticed,
    # so callers go to it and are cut off. Its messages grow with the fleet.
    When naive membership runs through any faults
    Then membership broke an invariant

  Scenario: a daemon that was frozen accuses nobody when it wakes
    # A host is suspended for a minute. It wakes with all its probes out of
    # time. If it believed them, callers of every daemon would see addresses
    # come and go. The cause would be its own pause.
    Given a membership of 9 daemons
    When membership freezes d-2 for 60 seconds
    Then in membership no other daemon is suspected in the 10 seconds after it wakes
    And in membership every daemon knows all within 20 seconds

  Scenario: suspicions do not run out while their holder is frozen
    # One host stalls for seconds and another, which suspects it, is suspended
    # for a minute. The second wakes when the first has long been back, and
    # would declare it dead. The cause is a time-out that ran during its pause.
    Given a membership of 9 daemons
    When membership freezes d-2 for 60 seconds while it suspects d-7
    Then in membership d-2 keeps d-7 in the 10 seconds after it wakes
    And in membership every daemon knows all within 20 seconds

  Scenario: a probe that was under way during a pause accuses nobody
    # Of two daemons one is suspended while it waits for an answer. It wakes
    # with the answer out of time, and there is no third one to ask.
    Given a membership of 2 daemons
    When membership freezes d-1 for 60 seconds in the middle of a probe
    Then in membership d-1 suspects nobody in the 10 seconds after it wakes

  Scenario: a daemon that one other can't reach stays listed
    # A link between two hosts breaks. One of them gets no answer from the
    # other, whom all the rest still reach. Its address must be given to
    # callers on. The cause is the link, not the daemon.
    Given a membership of 9 daemons
    When membership cuts d-1 off from d-3 alone
    Then in membership every daemon lists d-1 and d-3 for 60 seconds

  Scenario: a daemon that nobody answers spreads no verdicts afterwards
    # A host's network is down for two minutes. It takes all others for dead.
    # When it is back, the others must not begin to suspect each other on its
    # word, or callers would find only half of the addresses.
    Given a membership of 9 daemons
    When membership cuts d-4 off from all others for 120 seconds
    Then in membership no other daemon is suspected in the 10 seconds after it wakes
    And in membership every daemon knows all within 20 seconds

  Scenario: two regions that lost each other for minutes join again
    # The line between two regions is down, and each takes the other for dead.
    # When it is back, each must list the other's daemons again, with no
    # burst of messages and never an empty list.
    Given a membership of 24 daemons
    When membership cuts the regions for 120 seconds
    Then in membership every daemon knows all within 30 seconds
    And in membership no daemon sends more than 10 messages in any second of it
    And in membership each daemon gives half of its region or more all the time

  Scenario: a daemon restarted with its clock set back is believed
    # A host is replaced and its clock is an hour behind. What it says of
    # itself carries a lower incarnation than its former self. If the others
    # ignored it, its address would never be given again.
    Given a membership of 6 daemons
    When membership restarts d-2 with its clock an hour behind
    Then in membership every daemon lists all within 20 seconds

  Scenario: another daemon at a dead one's address takes its place
    # A host is replaced by one with the same address and another name. The
    # probes of the old name are answered by the new one. The old name must
    # not be kept as live by them.
    Given a membership of 6 daemons
    When membership puts d-6 at the address of d-2
    Then in membership every daemon knows all but d-2 and also d-6 within 30 seconds

  Scenario: a stopping daemon is unlisted at once
    # A planned stop begins. Callers keep an address for three seconds, so
    # the news has to be everywhere in less.
    Given a membership of 24 daemons
    When membership lets d-5 leave
    Then in membership no daemon lists d-5 after 1 second

  Scenario: every daemon learns which revision the others have
    # An operator waits until a change is in force everywhere. Each daemon
    # must tell of all others, and of a restarted one nothing that only its
    # former self had.
    Given a membership of 24 daemons
    When membership has revision 7 in force at all but d-3
    Then in membership every daemon tells so within 15 seconds
    And in membership of d-5 restarted with nothing in force nobody tells revision 7

  Scenario: a small dictionary of each daemon reaches all others
    Given a membership of 12 daemons that attach their demand
    Then in membership every daemon has read the demand of all others within 15 seconds

  Scenario: the measurement of membership runs in its smallest size
    When the membership case of the bench runs tiny
    Then its rows compare the project with the naive version

  Scenario: groups that formed at a common start are one within a second and a half
    # All hosts lost power and came back within half a second. Four found each
    # other, and two others did. Each group had deciders of its own, and calls
    # half full, until an old address was tried again after five seconds.
    When six daemons start in two groups that hear of each other a second later
    Then all are listed by all within 1500 ms of that
