Feature: load reports and departures of backend servers

  Scenario: every daemon knows the load of its data centre, read once
    # Routers that don't know how busy a replica is send it more than it can
    # bear, and requests end late. If each daemon asked each replica itself,
    # asking would be most of the work.
    Given load of 30 replicas read by 6 daemons
    Then load readings are at most 5 seconds old at every daemon
    And load is read at most 3 times a second by each daemon
    And the load book of d-3 holds what engine-3 reported

  Scenario: the replicas of a dead collector are read by others
    # A daemon dies. The load of the replicas that it read grows old at all
    # daemons, and calls pile up there. The others must take them over.
    Given load of 30 replicas read by 6 daemons
    When load collector d-0 dies
    Then load readings are at most 5 seconds old at every daemon again

  Scenario: the last daemon stops while it still has to serve
    # The only daemon is told to stop and lingers for its callers. It reads no
    # load any more; if sharing out replicas among no live daemon failed, the
    # process would end and cut its callers' requests.
    Given load of 5 replicas read by 1 daemons
    When load collector d-0 is told to stop
    Then load collector d-0 goes on running and reads nothing

  Scenario: data centres tell each other what their pools have to do
    Given load of 30 replicas read by 6 daemons
    When load of 4 requests for quote runs at engine-2
    Then load of quote is known to be 4 at every daemon

  Scenario: readings made under another revision are not mixed up
    # A replica is added while one daemon has not yet the new revision. Its
    # readings go by the place in the order of names; taken under the other
    # order they would be another replica's load.
    Given load of 30 replicas read by 6 daemons
    When load reading comes in the order of another revision
    Then load of no replica was taken from it

  Scenario: a replica that says it is leaving gets no new work anywhere
    # A backend server stops. The host list tells of it ten seconds later.
    # Until then callers' requests go there and are refused. One daemon that
    # hears it must be enough for all.
    Given load of 30 replicas read by 6 daemons
    When load replica engine-4 begins to leave
    Then load replica engine-4 is marked at every daemon within 4 seconds

  Scenario: a refusal at one daemon warns the others
    Given load of 30 replicas read by 6 daemons
    When load replica engine-4 refuses a call of d-1 as leaving
    Then load replica engine-4 is marked at every daemon within 2 seconds

  Scenario: a leaving host that nobody calls is known from the host list
    Given load of 30 replicas read by 12 daemons with a host list
    When load host list names engine-4 as leaving
    Then load replica engine-4 is marked at every daemon within 5 seconds
    And load host list was read less than 4 times a second

  Scenario: a replica that came back gets work again
    # A host is taken out and put back under the same name. If daemons kept
    # confirming each other's old word, it would never be used again.
    Given load of 30 replicas read by 6 daemons
    When load replica engine-4 leaves for 15 seconds and comes back
    Then load replica engine-4 is unmarked at every daemon within 60 seconds

  Scenario: the measurement of load reports runs in its smallest size
    When the load reports case of the bench runs tiny
    Then load collectors read less than all reading all
