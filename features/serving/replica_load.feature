Feature: replicas that say how slow they are

  Scenario: a seventh of the replicas is slow, another one every 600 ms
    # Without the reports every seventh request met a slow replica until its
    # latency had been measured, and by then another one was slow.
    When a daemon sends requests to replicas that are slow in turn
    Then the 99th percentile is within 1.5 times that without slow ones
    And a daemon that ignores how slow they are exceeds it

  Scenario: 91 daemons have the same report
    # Guards against all daemons choosing the replica that looks best, which has
    # the longest queue by the next report.
    When 91 daemons with the same report send 10 requests each in 100 ms
    Then no replica gets more than 1.5 times its part of them
    And it does if daemons ignore how slow they are or take the least loaded

  Scenario Outline: a report <fault>
    # Guards against a choice by what was true once, or of another process.
    Given a daemon and a replica that is slow
    When a report <fault>
    Then the daemon chooses as without reports

    Examples:
      | fault                         |
      | is lost                       |
      | arrives late                  |
      | is older than the decay time  |
      | is of another incarnation     |
      | is of an unknown replica      |
      | is of another service         |
      | is malformed                  |

  Scenario: an older incarnation answers after the new one
    # Guards against the report of a process that has ended.
    Given a daemon and a replica that is slow
    When a late answer of its last incarnation says that it was fast
    Then the daemon knows the replica as slow

  Scenario Outline: replicas stay slow for <stay> ms
    # Guards against reports that count for longer than they hold.
    When a replica that is slow for <stay> ms answers every 20 ms
    Then its reports lose their weight in <least> to <most> ms

    Examples:
      | stay  | least | most |
      | 40    | 100   | 100  |
      | 300   | 250   | 400  |
      | 600   | 500   | 750  |
      | 9000  | 1500  | 1500 |

  Scenario Outline: a replica states its load as <value>
    When an answer states the load <value>
    Then it is read as <load>

    Examples:
      | value           | load           |
      | 3,0,8           | 3 0 8 None     |
      | 3,0,8,250       | 3 0 8 2.5      |
      | 3, 0, 8, 100    | 3 0 8 1.0      |
      | 0,12,8,62.5     | 0 12 8 0.625   |
      | 3,0             | absent         |
      | 3,0,8,250,1     | absent         |
      | 3,0,8,          | absent         |
      | 9,0,8,100       | absent         |
      | 3,-1,8,100      | absent         |
      | 0,0,0,100       | absent         |
      | 3,0,8,0         | absent         |
      | 3,0,8,-5        | absent         |
      | 3,0,8,nan       | absent         |
      | 3,0,8,1e3       | absent         |
      | 1_0,0,80,100    | absent         |
      | 3,0,8;3,0,8     | absent         |
      | 3,0,8,250;4,0,8 | absent         |

  Scenario: 100 malformed headers
    # Guards against a header that fails its request, or fills the log.
    When 100 answers state their load by random bytes
    Then each of them is an answer without a load
    And at most 7 lines are logged about them

  Scenario: a slow stage replica is called last
    # Guards against calls that last 2.5 times as long while another replica is
    # free, and against replicas that are left idle while pieces are queued.
    Given a stage queue of two replicas, of which the better one says it is slow
    When pieces for two calls are queued
    Then the first call goes to the other one and the second to the slow one
    And a call that took as long as the replica said leaves no mark

  Scenario: a slow engine gets no prompt that others can prefill
    # Guards against the first token that comes 2.5 times as late.
    Given five engines of which the preferred one says that it is slow
    When a long prompt is placed
    Then another engine gets it
    And a first token that came as late as the engine said leaves no mark

  Scenario: the decider hears of slow engines from daemons
    # Guards against a decider that learns of slow engines from late first
    # tokens only, and against messages that grow with the engines.
    Given a daemon and the decider of 12 engines
    When the daemon has answers of all engines, one of them slow at last
    And it asks the decider for an engine
    Then the message had 8 reports, and the decider knows that engine as slow
    And a message without new answers has no report

  Scenario: the decider of slow engines is lost
    # Guards against a daemon that knows nothing until the next decider does.
    Given a daemon and the decider of 12 engines
    When the daemon has answers of all engines, one of them slow at last
    And it asks the decider for an engine
    And another daemon decides from then on
    Then the daemon still knows the engine as slow, the new decider does not
    And the new decider knows it with the daemon's next answer of it

  Scenario: a daemon hears of slow engines from the decider
    Given a daemon and the decider of 12 engines
    When the decider knows 10 slow engines and is asked for an engine
    Then the daemon knows 8 of them

  Scenario Outline: a message between daemons with <loads> for reports
    # Guards against an older release, or nonsense, that fails a placement.
    Given a daemon and the decider of 12 engines
    When messages and answers have <loads> for reports
    Then the daemon gets an engine from the decider

    Examples:
      | loads                  |
      | nothing                |
      | null                   |
      | 7                      |
      | {"engine": 3}          |
      | [[]]                   |
      | [["e1", 0, "x", null]] |

  Scenario Outline: an answer of status <status> states a slowdown
    # Guards against a figure that nobody records, or that is another replica's.
    When a replica answers a request with <status> and says that it is slow
    Then the daemon takes it for <speed>

    Examples:
      | status | speed  |
      | 200    | slow   |
      | 503    | slow   |
      | 421    | normal |

  Scenario Outline: a stage replica answers a <call> with <status>
    # Guards against a stage queue that hears of no figure.
    When a stage replica answers a <call> with <status> and says that it is slow
    Then the daemon takes it for <speed>

    Examples:
      | call | status | speed  |
      | call | 200    | slow   |
      | free | 200    | slow   |
      | free | 421    | normal |
