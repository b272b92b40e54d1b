Feature: load reports and departures of backend servers

  Scenario: every daemon has the load of its data centre, read by one daemon
    # Guards against routers without current load, which overload replicas so
    # that requests miss their deadlines. If each daemon polled each replica
    # itself, polling would be most of the work.
    Given load of 30 replicas read by 6 daemons
    Then load readings are at most 5 seconds old at every daemon
    And load is read at most 3 times a second by each daemon
    And the load tracker of d-3 has the load that engine-3 reported

  Scenario: the replicas of a dead daemon are read by the others
    # Guards against outdated load after a daemon dies: requests would queue at
    # the replicas that it read. The other daemons take these over.
    Given load of 30 replicas read by 6 daemons
    When load collector d-0 dies
    Then load readings are at most 5 seconds old at every daemon again

  Scenario: the last daemon stops while it still serves requests
    # The only daemon drains after a stop signal and reads no load. Guards
    # against an error when replicas are assigned among no live daemons, which
    # would end the process and cut its callers' requests.
    Given load of 5 replicas read by 1 daemons
    When load collector d-0 is told to stop
    Then load collector d-0 keeps running and reads nothing

  Scenario: data centres exchange the load of their pools
    Given load of 30 replicas read by 6 daemons
    When load of 4 requests for quote runs at engine-2
    Then load of quote is 4 at every daemon

  Scenario: readings of another revision are ignored
    # A replica is added, and one daemon does not have the new revision yet.
    # Readings are encoded in the order of the replicas' names; decoded in
    # another order, they would be attributed to the wrong replicas.
    Given load of 30 replicas read by 6 daemons
    When load readings arrive in the order of another revision
    Then load of no replica was taken from them

  Scenario: a replica that reports that it is leaving gets no new work
    # A backend server stops, and the host list shows it ten seconds later.
    # Until then requests are sent there and refused. One daemon that receives
    # its report informs all others.
    Given load of 30 replicas read by 6 daemons
    When load replica engine-4 starts to leave
    Then load replica engine-4 is marked at every daemon within 4 seconds

  Scenario: a refusal at one daemon is reported to the others
    Given load of 30 replicas read by 6 daemons
    When load replica engine-4 refuses a call of d-1 as leaving
    Then load replica engine-4 is marked at every daemon within 2 seconds

  Scenario: a leaving host that no daemon calls is found in the host list
    Given load of 30 replicas read by 12 daemons with a host list
    When load host list shows engine-4 as leaving
    Then load replica engine-4 is marked at every daemon within 5 seconds
    And load host list was read less than 4 times a second

  Scenario: a replica that returns gets work again
    # A host is removed and added again under the same name. Guards against
    # daemons that keep confirming each other's outdated reports, so that it
    # would never be used again.
    Given load of 30 replicas read by 6 daemons
    When load replica engine-4 leaves for 15 seconds and returns
    Then load replica engine-4 is unmarked at every daemon within 60 seconds

  Scenario: the benchmark of load reports runs in its smallest size
    When the load reports case of the benchmarks runs in its smallest size
    Then load collectors send fewer messages than if all read all
