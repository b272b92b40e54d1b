Feature: a daemon records which replicas it reaches

  Scenario Outline: <what> is told from the log
    # Guards against logs in which a host without a path to any replica looks like
    # a host whose replicas fail.
    Given a daemon that has reached three replicas
    When <what>
    Then its log names <unreachable> as unreachable, and <again> as reached again
    And the last connection was made <when>

    Examples: troubles
      | what                              | unreachable | again | when              |
      | one replica is lost               | a           | none  | a moment ago      |
      | the host is cut from all replicas | a, b, c     | none  | before the others |
      | such a cut has ended              | a, b, c     | a     | a moment ago      |
      | a lost replica is removed         | a           | none  | a moment ago      |

  Scenario Outline: a daemon that <trouble> <acts>
    # Guards against a sound replica that is blamed for a path, and against a path
    # that is blamed, and avoided, for a replica that is down.
    Given a daemon among others that <trouble>
    When it connects to each replica, and again a second later
    Then its last connections are made <acts>
    And the replicas to blame are <blamed>

    Examples: verdicts
      | trouble                                         | acts                              | blamed  |
      | reaches all replicas                            | by itself                         | a, b, c |
      | has lost the path to one replica                | through others for a              | b, c    |
      | has lost the paths to all replicas              | through others for a, b, c        | none    |
      | is refused by all replicas that others reach    | through others for a, b, c        | none    |
      | meets a replica that is down                    | by itself, and to a not at all    | a, b, c |
      | has lost all paths as the others have           | not at all                        | none    |
      | had lost all paths, which are back              | by itself                         | a, b, c |

  Scenario: paths to replicas that were not tried count as lost with two others
    # Guards against callers of a cut host that wait for each path to time out.
    Given a daemon that has reached three replicas
    When other daemons reach two of them that it has lost
    Then the path to the third counts as lost, until one is reached again

  Scenario: a daemon that says that it is cut off is not asked to connect
    # Guards against callers of a cut host that wait for another cut host.
    Given six daemons of which three say that they are cut off
    When a daemon looks for others that reach replicas
    Then it finds the two that have not said so

  Scenario: a failed call of a stage counts as no attempt if its path is in doubt
    # Guards against requests of all daemons that fail as the decider of a stage
    # is cut off: their pieces use up their attempts on its broken paths.
    Given a stage service whose calls break off six times
    When the path to its replica is in doubt, and when it is not
    Then a request's pieces are computed in the first case alone
