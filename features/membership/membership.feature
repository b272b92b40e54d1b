Feature: membership among daemons

  Scenario: daemons agree after any faults, and always return an address
    # Hosts are killed, frozen, restarted and cut off in any order. Any daemon
    # must return addresses to callers at all times, and exactly those of the
    # serving daemons some time after the last fault. Fails if updates are
    # lost, merged in the wrong order or spread without bound.
    When membership runs through any faults
    Then membership kept its invariants

  Scenario: heartbeats to every daemon violate the same invariants
    # The naive version lists a stopping daemon until its heartbeats time out,
    # so callers are sent to it and lose their connections. Its number of
    # messages grows with the fleet.
    When naive membership runs through any faults
    Then membership violated an invariant

  Scenario: a daemon that was frozen suspects no other when it resumes
    # A host is suspended for a minute, and all its probes have timed out when
    # it resumes. If it reported the probed daemons as suspected, addresses
    # would disappear and reappear for the callers of every daemon.
    Given a membership of 9 daemons
    When membership freezes d-2 for 60 seconds
    Then in membership no other daemon is suspected in the 10 seconds after it resumes
    And in membership every daemon knows all within 20 seconds

  Scenario: suspicions do not time out while the suspecting daemon is frozen
    # One host stalls for seconds; another one, which suspects it, is suspended
    # for a minute. When the second resumes, the first has long recovered. It
    # must not be marked dead by a time-out that ran during the pause.
    Given a membership of 9 daemons
    When membership freezes d-2 for 60 seconds while it suspects d-7
    Then in membership d-2 keeps d-7 in the 10 seconds after it resumes
    And in membership every daemon knows all within 20 seconds

  Scenario: a probe in flight during a pause leads to no suspicion
    # One of two daemons is suspended while it waits for an answer. When it
    # resumes, the probe has timed out and there is no helper for an indirect
    # probe.
    Given a membership of 2 daemons
    When membership freezes d-1 for 60 seconds in the middle of a probe
    Then in membership d-1 suspects no other in the 10 seconds after it resumes

  Scenario: a daemon that one other can't reach stays listed
    # The link between two hosts breaks. One of them gets no answer from the
    # other, which all others still reach. Because only the link is at fault,
    # callers must still be given the address.
    Given a membership of 9 daemons
    When membership cuts d-1 off from d-3 alone
    Then in membership every daemon lists d-1 and d-3 for 60 seconds

  Scenario: a daemon that was isolated spreads no suspicions afterwards
    # A host's network is down for two minutes, and it marks all others dead.
    # When the network is back, its reports must not make the others suspect
    # each other, or callers would be given only half of the addresses.
    Given a membership of 9 daemons
    When membership cuts d-4 off from all others for 120 seconds
    Then in membership no other daemon is suspected in the 10 seconds after it resumes
    And in membership every daemon knows all within 20 seconds

  Scenario: two regions merge again after a partition of minutes
    # The network between two regions is down, and each marks the other's
    # daemons dead. When it is back, each must list the other's daemons again,
    # with no burst of messages and never with an empty list.
    Given a membership of 24 daemons
    When membership cuts the regions for 120 seconds
    Then in membership every daemon knows all within 30 seconds
    And in membership no daemon sends more than 10 messages in any second of the merge
    And in membership each daemon lists at least half of its region all the time

  Scenario: a daemon restarted with its clock set back is accepted
    # A host is replaced and its clock is an hour behind, so its updates carry
    # a lower incarnation than those of its earlier run. If the others ignored
    # them, callers would never be given its address again.
    Given a membership of 6 daemons
    When membership restarts d-2 with its clock an hour behind
    Then in membership every daemon lists all within 20 seconds

  Scenario: another daemon at a dead one's address replaces it
    # A host is replaced by one with the same address and another name. The
    # new daemon answers probes that are meant for the old one. These answers
    # must not keep the old name live.
    Given a membership of 6 daemons
    When membership puts d-6 at the address of d-2
    Then in membership every daemon knows all but d-2 and also d-6 within 30 seconds

  Scenario: a stopping daemon is unlisted at once
    # On a planned stop, callers keep an address for three seconds. The update
    # has to reach all daemons in less.
    Given a membership of 24 daemons
    When membership lets d-5 leave
    Then in membership no daemon lists d-5 after 1 second

  Scenario: every daemon receives which revision the others have in force
    # An operator waits until a change is in force everywhere. Each daemon must
    # report the revision of all others, and for a restarted one never the
    # revision of its earlier run.
    Given a membership of 24 daemons
    When membership has revision 7 in force at all but d-3
    Then in membership every daemon reports these revisions within 15 seconds
    And in membership of d-5 restarted with nothing in force no daemon reports revision 7

  Scenario: a small dictionary of each daemon reaches all others
    Given a membership of 12 daemons that attach their demand
    Then in membership every daemon has read the demand of all others within 15 seconds

  Scenario: a change reaches all of a hundred daemons that started together
    # Guards against changes that wait behind what each pair of daemons has not
    # sent each other since their start, which takes minutes: hosts then name
    # different deciders of a service for as long.
    Given a membership of 100 daemons that announce themselves like serving
    When one of them announces that it decides for a service
    Then in membership all others have read that within 13 seconds

  Scenario: the measurement of membership runs in its smallest size
    When the membership case of the bench runs tiny
    Then its rows compare the project with the naive version

  Scenario: groups that formed at a common start merge within a second and a half
    # All hosts lose power and come back within half a second. Four discover
    # each other, and so do the other two. Each group has its own deciders and
    # half-full calls until addresses without a present daemon are probed
    # again. With an interval of five seconds this took that long.
    When six daemons start in two groups that are connected a second later
    Then after that, every daemon lists all within 1500 ms
